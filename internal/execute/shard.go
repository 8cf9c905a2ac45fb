package execute

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/lease"
	"github.com/damaskshelf/damaskshelf/internal/decide/order"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// shard is this instance's state of one shard.
type shard struct {
	number     int
	lease      *lease.Lease
	record     ShardRecord // as this instance last wrote or read it
	needsLease bool        // there is work to do under the lease
	engines    map[fleet.UpstreamID]*engine
}

// engine is what this instance remembers about one engine of a shard.
type engine struct {
	lastOrder    order.LastOrder
	grantedLoad  string        // load whose transfer was granted and whose order is not sent yet: "model@version"
	loggedReason decide.Reason // reason of the last decision that was logged
}

// resetForPlan discards the state of an older plan. The count of attempts continues, so that operation ids differ. A
// lease that is held gets a new fence with the next write. Engines that check fences then refuse a late order of the
// older plan, as they refuse one of an older holder.
func (s *shard) resetForPlan() {
	s.lease.Abandon()
	for _, e := range s.engines {
		e.grantedLoad, e.loggedReason = "", ""
	}
}

// reading is one engine with its state as it was just read, or the error of the read.
type reading struct {
	upstream *fleet.Upstream
	engine   *engine
	state    wire.EngineState
	err      error
}

// processShard reads the engines of one shard, sends the orders that are due and records a stage that is done. It
// reports whether there is more to do.
func (x *Executor) processShard(ctx context.Context, r *round, s *shard) bool {
	if s.needsLease {
		x.advanceLease(ctx, s, r.view.ConfigVersion)
	}
	readings := x.readEngines(ctx, r, s)
	done, ordered := true, false
	for _, rd := range readings {
		if rd.err != nil {
			x.logDecision(s, rd, engineUnreachable, "error", rd.err)
			done = false
			continue
		}
		d := order.Next(x.orderInput(r, s, rd))
		done = done && d.Done
		x.logDecision(s, rd, d.Reason, "model", d.Model, "stage", r.stage)
		ordered = ordered || !d.Done
		if d.Order != nil {
			x.sendOrder(ctx, s, rd, d)
		}
	}
	return x.recordStage(ctx, s, r.stage, done) || ordered
}

// engineUnreachable is the reason for sending no order to an engine whose state can't be read.
const engineUnreachable decide.Reason = "engine_silent"

// recordStage records the stage if it is done and the lease is valid. It sets needsLease if there is work to
// do under the lease. It reports whether there is more to do.
func (x *Executor) recordStage(ctx context.Context, s *shard, stage int, done bool) bool {
	rec := s.record
	if listed, ok := x.records.shards[s.number]; ok && x.records.versions[s.number] > s.lease.IfVersion() {
		rec = listed
	}
	behind := x.job.mustRecord(s.number, stage) && (rec.PlanID != x.job.plan.ID || rec.DoneStage < stage)
	s.needsLease = !done || behind
	if !done || !behind || !s.lease.Valid(x.Now()) {
		return s.needsLease
	}
	next := ShardRecord{Holder: x.holderID, PlanID: x.job.plan.ID, DoneStage: stage, ConfigVersion: s.record.ConfigVersion}
	if x.writeLease(ctx, s, next) {
		x.Log.Info("stage done", "plan", next.PlanID, "shard", shardName(s.number), "stage", stage, "of", x.job.stages)
	}
	return true
}

// needsReading reports whether an engine has to be read in a stage. Outside its steps and the verification, an engine
// whose observed models are as they should be needn't be read. An engine without observed models is read if the plan has
// a target for it.
func (x *Executor) needsReading(u *fleet.Upstream, s *shard, stage int) bool {
	id := string(u.ID)
	if x.Observed == nil {
		return x.job.targets[id] != nil
	}
	seen, observed := x.Observed.Loaded(u.ID)
	if !observed {
		return x.job.targets[id] != nil
	}
	return x.job.needsReading(id, stage, seen)
}

// readEngines reads the state of the shard's engines that may need orders.
func (x *Executor) readEngines(ctx context.Context, r *round, s *shard) []*reading {
	var readings []*reading
	for _, u := range r.enginesByShard[s.number] {
		if !x.needsReading(u, s, r.stage) {
			continue
		}
		e := s.engines[u.ID]
		if e == nil {
			e = &engine{}
			s.engines[u.ID] = e
		}
		readings = append(readings, &reading{upstream: u, engine: e})
	}
	forEach(x.Config.Concurrency, readings, func(rd *reading) {
		rd.state, rd.err = x.Engines.State(ctx, rd.upstream.Addr)
	})
	return readings
}

// orderInput returns the input of the decision about one engine.
func (x *Executor) orderInput(r *round, s *shard, rd *reading) order.Input {
	now, id := x.Now(), string(rd.upstream.ID)
	models := maps.Clone(r.models)
	for model, firstID := range r.firstDeviating {
		m := models[model]
		m.FirstDeviating = firstID == id
		models[model] = m
	}
	return order.Input{
		PlanID: x.job.plan.ID, Fencing: rd.upstream.Fencing, State: rd.state, LastOrder: rd.engine.lastOrder, Now: now,
		Steps: x.job.steps[id], Stage: r.stage, Verify: r.stage >= x.job.verifyStage(), Target: *x.job.targets[id],
		Lease:  order.Lease{Valid: s.lease.Valid(now), Fence: s.lease.Fence(), Settled: s.lease.Settled(now)},
		Floors: x.job.plan.Floors, Models: models, Forced: x.job.plan.Forced,
	}
}

// sendOrder sends an order, after the transfer budget for it is granted. A repeated order needs no new budget. The lease
// is checked on the monotonic clock right before sending: it may have expired since the decision, during the call to the
// weight store or a pause of the process.
func (x *Executor) sendOrder(ctx context.Context, s *shard, rd *reading, d order.Decision) {
	if d.Reason != order.RepeatOrder && !x.acquireTransfer(ctx, rd, d.Order) {
		return
	}
	if !s.lease.Valid(x.Now()) {
		x.logDecision(s, rd, order.NoLease, "model", d.Model)
		return
	}
	rd.engine.lastOrder = d.LastOrder
	_, err := x.Engines.Order(ctx, rd.upstream.Addr, *d.Order)
	rd.engine.grantedLoad = ""
	if err != nil {
		x.Log.Warn("order failed, it may have taken effect", "upstream", rd.upstream.ID, "order", d.Order.ID, "error", err)
	}
}

// acquireTransfer takes transfer budget from the weight store for a load, and reports whether the order may be sent. A
// load whose size is known is sent only after its budget is granted, so that all instances together stay within the
// store's rate.
func (x *Executor) acquireTransfer(ctx context.Context, rd *reading, o *wire.Order) bool {
	if x.WeightStore == nil || o.Kind != api.StepLoad || o.Adapter != "" {
		return true
	}
	load := o.Model + "@" + o.Version
	size := x.job.weightGB(o.Model, o.Version)
	if size == 0 || rd.engine.grantedLoad == load {
		return true
	}
	if x.Now().Before(decide.Instant(x.transferRetryAt.Load())) {
		return false
	}
	wait, err := x.WeightStore.TakeBudget(ctx, o.Model, o.Version, size)
	if err != nil {
		x.Log.Warn("failed to get transfer budget from the weight store", "upstream", rd.upstream.ID, "model", o.Model, "error", err)
		return false
	}
	if wait > 0 {
		x.transferRetryAt.Store(int64(x.Now().Add(wait)))
		return false
	}
	rd.engine.grantedLoad = load
	return true
}

// logDecision logs a decision about an engine if its reason differs from the last one logged.
func (x *Executor) logDecision(s *shard, rd *reading, reason decide.Reason, fields ...any) {
	if rd.engine.loggedReason == reason {
		return
	}
	rd.engine.loggedReason = reason
	all := append([]any{"plan", x.job.plan.ID, "shard", s.number, "fence", s.lease.Fence()}, fields...)
	x.Recorder.Record("place", string(rd.upstream.ID), reason, all...)
}

// advanceLease does one step to acquire or renew the lease under a configuration version.
//
// An instance with an old configuration could acquire the lease and execute an older plan, after another instance has
// begun the newer one. To prevent this, the record names the configuration under which the shard was last processed,
// and the lease is acquired only if the record still has the version that was read.
func (x *Executor) advanceLease(ctx context.Context, s *shard, config uint64) {
	now := x.Now()
	effect, reason := s.lease.Step(now)
	if effect == lease.Read {
		if !x.readLease(ctx, s) {
			return
		}
		effect, reason = s.lease.Step(x.Now())
	}
	if effect != lease.Write {
		return
	}
	if s.record.ConfigVersion > config {
		x.Log.Warn("configuration is behind the shard's", "shard", shardName(s.number), "have", config, "shard_has", s.record.ConfigVersion)
		return
	}
	wasHeld := s.lease.Valid(now)
	rec := s.record
	rec.Holder, rec.ConfigVersion = x.holderID, config
	if x.writeLease(ctx, s, rec) && !wasHeld {
		x.Log.Info("lease taken", "shard", shardName(s.number), "fence", s.lease.Fence(), "reason", string(reason))
	}
}

// key returns the key of the shard's object.
func (s *shard) key() objects.Key { return objects.Key{Kind: ObjectKind, Name: shardName(s.number)} }

// readLease reads the shard's object. It reports whether the lease's state is known now.
func (x *Executor) readLease(ctx context.Context, s *shard) bool {
	o, err := x.Store.Get(ctx, s.key())
	if errors.Is(err, objects.ErrNotFound) {
		s.lease.Observe("", 0, x.Now())
		return true
	}
	if err != nil {
		x.Log.Warn("failed to read the lease", "shard", shardName(s.number), "error", err)
		return false
	}
	var rec ShardRecord
	if err := json.Unmarshal(o.Value, &rec); err != nil {
		x.Log.Error("failed to decode the lease", "shard", shardName(s.number), "error", err)
		return false
	}
	if o.Version >= s.lease.IfVersion() {
		s.record = rec
	}
	s.lease.Observe(rec.Holder, o.Version, x.Now())
	return true
}

// writeLease writes the shard's object if the store has the version that the lease was read or written at. It reports
// whether the write is known to have taken effect.
func (x *Executor) writeLease(ctx context.Context, s *shard, rec ShardRecord) bool {
	version, err := x.putRecord(ctx, s, rec)
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		s.record = rec
		s.lease.WriteSucceeded(version, x.Now())
		return true
	case errors.As(err, &conflict):
		s.lease.WriteConflicted()
	case !errors.Is(err, objects.ErrUnavailable):
		s.lease.WriteUnknown()
	}
	x.Log.Warn("failed to write the lease", "shard", shardName(s.number), "error", err)
	return false
}

// putRecord writes rec to the store and returns the new version.
func (x *Executor) putRecord(ctx context.Context, s *shard, rec ShardRecord) (uint64, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encode lease: %w", err)
	}
	s.lease.BeginWrite(x.Now())
	return x.Store.Put(ctx, objects.Write{Key: s.key(), IfVersion: s.lease.IfVersion(), WriteID: x.NewID(), Value: data})
}

// releaseLease releases a lease. The lease counts as invalid already before the write is sent: if the response is lost,
// the write may have taken effect, and another instance may acquire the lease at once.
func (x *Executor) releaseLease(ctx context.Context, s *shard) error {
	s.lease.Abandon()
	rec := s.record
	rec.Holder = ""
	version, err := x.putRecord(ctx, s, rec)
	if err != nil {
		s.lease.WriteConflicted()
		return err
	}
	s.record = rec
	s.lease.Released(version, x.Now())
	return nil
}

// HoldsLease reports whether this instance may send orders to a shard's engines now.
func (x *Executor) HoldsLease(shard int) bool {
	s := x.shards[shard]
	return s != nil && s.lease.Valid(x.Now())
}
