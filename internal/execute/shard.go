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

// shard is this instance's part in one shard.
type shard struct {
	number  int
	lease   *lease.Lease
	record  ShardRecord // as it was last written or read
	wanted  bool        // there is work that needs the lease
	engines map[fleet.UpstreamID]*engine
}

// engine is what the holder keeps of one engine of its shard.
type engine struct {
	issued  order.LastOrder
	granted string        // weights for this load were granted: "model@version" of an order not yet sent
	reason  decide.Reason // last one logged
}

// adopt forgets what belongs to an older plan. Attempts go on counting, so that operation ids differ. A
// lease that is held gets a new fence with the next write: an order of the older plan that arrives late is
// then refused by engines that check, like one of an older holder.
func (s *shard) adopt() {
	s.lease.Abandon()
	for _, e := range s.engines {
		e.granted, e.reason = "", ""
	}
}

// look is one engine with its state as it was just read.
type look struct {
	upstream *fleet.Upstream
	engine   *engine
	state    wire.EngineState
	err      error
}

// work does what is due on one shard and tells whether more is to be done soon.
func (x *Executor) work(ctx context.Context, r *round, s *shard) bool {
	if s.wanted {
		x.hold(ctx, s, r.view.ConfigVersion)
	}
	looks := x.look(ctx, r, s)
	done, ordered := true, false
	for _, l := range looks {
		if l.err != nil {
			x.note(s, l, noAnswer, "error", l.err)
			done = false
			continue
		}
		d := order.Next(x.input(r, s, l))
		done = done && d.Done
		x.note(s, l, d.Reason, "model", d.Model, "stage", r.stage)
		ordered = ordered || !d.Done
		if d.Order != nil {
			x.order(ctx, s, l, d)
		}
	}
	return x.conclude(ctx, s, r.stage, done) || ordered
}

// noAnswer is the reason why an engine is left alone that can't be read.
const noAnswer decide.Reason = "engine_silent"

// conclude records a stage as done, or asks for the lease where there is work.
func (x *Executor) conclude(ctx context.Context, s *shard, stage int, done bool) bool {
	rec := s.record
	if known, ok := x.last.shards[s.number]; ok && x.last.versions[s.number] > s.lease.IfVersion() {
		rec = known
	}
	behind := x.job.records(s.number, stage) && (rec.PlanID != x.job.plan.ID || rec.DoneStage < stage)
	s.wanted = !done || behind
	if !done || !behind || !s.lease.Valid(x.Now()) {
		return s.wanted
	}
	next := ShardRecord{Holder: x.self, PlanID: x.job.plan.ID, DoneStage: stage, ConfigVersion: s.record.ConfigVersion}
	if x.write(ctx, s, next) {
		x.Log.Info("stage done", "plan", next.PlanID, "shard", shardName(s.number), "stage", stage, "of", x.job.stages)
	}
	return true
}

// concerned tells whether an engine has to be read. What was observed of it besides spares the reading of
// all that is as it should be.
func (x *Executor) concerned(u *fleet.Upstream, s *shard, stage int) bool {
	id := string(u.ID)
	if x.Observed == nil {
		return x.job.target[id] != nil
	}
	seen, known := x.Observed.Loaded(u.ID)
	if !known {
		return x.job.target[id] != nil
	}
	return x.job.concerns(id, stage, seen)
}

// look reads the engines of a shard that may need orders.
func (x *Executor) look(ctx context.Context, r *round, s *shard) []*look {
	var looks []*look
	for _, u := range r.byShard[s.number] {
		if !x.concerned(u, s, r.stage) {
			continue
		}
		e := s.engines[u.ID]
		if e == nil {
			e = &engine{}
			s.engines[u.ID] = e
		}
		looks = append(looks, &look{upstream: u, engine: e})
	}
	each(x.Config.Concurrency, looks, func(l *look) {
		l.state, l.err = x.Engines.State(ctx, l.upstream.Addr)
	})
	return looks
}

func (x *Executor) input(r *round, s *shard, l *look) order.Input {
	now, id := x.Now(), string(l.upstream.ID)
	models := maps.Clone(r.models)
	for model, first := range r.first {
		m := models[model]
		m.FirstDeviating = first == id
		models[model] = m
	}
	return order.Input{
		PlanID: x.job.plan.ID, Fencing: l.upstream.Fencing, State: l.state, LastOrder: l.engine.issued, Now: now,
		Steps: x.job.steps[id], Stage: r.stage, Verify: r.stage >= x.job.verify(), Target: *x.job.target[id],
		Lease:  order.Lease{Valid: s.lease.Valid(now), Fence: s.lease.Fence(), Settled: s.lease.Settled(now)},
		Floors: x.job.plan.Floors, Models: models, Forced: x.job.plan.Forced,
	}
}

// order gives an order. The lease is asked for right before, by the monotonic clock: whatever took long
// since the decision, a grant of weights or a pause of the process, may have outlasted it.
func (x *Executor) order(ctx context.Context, s *shard, l *look, d order.Decision) {
	if d.Reason != order.RepeatOrder && !x.granted(ctx, l, d.Order) {
		return
	}
	if !s.lease.Valid(x.Now()) {
		x.note(s, l, order.NoLease, "model", d.Model)
		return
	}
	l.engine.issued = d.LastOrder
	_, err := x.Engines.Order(ctx, l.upstream.Addr, *d.Order)
	l.engine.granted = ""
	if err != nil {
		x.Log.Warn("order without a good answer", "upstream", l.upstream.ID, "order", d.Order.ID, "error", err)
	}
}

// granted asks the weight store for the transfer that a load takes. A load is sent only after its grant,
// so that the store's rate is never passed, whoever else loads.
func (x *Executor) granted(ctx context.Context, l *look, o *wire.Order) bool {
	if x.WeightStore == nil || o.Kind != api.StepLoad || o.Adapter != "" {
		return true
	}
	what := o.Model + "@" + o.Version
	size := x.job.gigabytes(o.Model, o.Version)
	if size == 0 || l.engine.granted == what {
		return true
	}
	if x.Now().Before(decide.Instant(x.wait.Load())) {
		return false
	}
	wait, err := x.WeightStore.TakeBudget(ctx, o.Model, o.Version, size)
	if err != nil {
		x.Log.Warn("weight store did not answer", "upstream", l.upstream.ID, "model", o.Model, "error", err)
		return false
	}
	if wait > 0 {
		x.wait.Store(int64(x.Now().Add(wait)))
		return false
	}
	l.engine.granted = what
	return true
}

// note logs a decision about an engine when its reason changes.
func (x *Executor) note(s *shard, l *look, reason decide.Reason, fields ...any) {
	if l.engine.reason == reason {
		return
	}
	l.engine.reason = reason
	all := append([]any{"plan", x.job.plan.ID, "shard", s.number, "fence", s.lease.Fence()}, fields...)
	x.Recorder.Record("place", string(l.upstream.ID), reason, all...)
}

// hold takes one step towards having the lease under a configuration version.
//
// An instance that lags behind could take the lease and work an older plan off, after another has begun
// with the newer one. The record names the configuration under which the shard was last worked on, and
// taking the lease is conditional on the version in which it was read.
func (x *Executor) hold(ctx context.Context, s *shard, config uint64) {
	now := x.Now()
	effect, reason := s.lease.Step(now)
	if effect == lease.Read {
		if !x.reread(ctx, s) {
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
	held := s.lease.Valid(now)
	rec := s.record
	rec.Holder, rec.ConfigVersion = x.self, config
	if x.write(ctx, s, rec) && !held {
		x.Log.Info("lease taken", "shard", shardName(s.number), "fence", s.lease.Fence(), "reason", string(reason))
	}
}

func (s *shard) key() objects.Key { return objects.Key{Kind: ObjectKind, Name: shardName(s.number)} }

// reread reads the shard's object.
func (x *Executor) reread(ctx context.Context, s *shard) bool {
	o, err := x.Store.Get(ctx, s.key())
	if errors.Is(err, objects.ErrNotFound) {
		s.lease.Observe("", 0, x.Now())
		return true
	}
	if err != nil {
		x.Log.Warn("lease not read", "shard", shardName(s.number), "error", err)
		return false
	}
	var rec ShardRecord
	if err := json.Unmarshal(o.Value, &rec); err != nil {
		x.Log.Error("lease is not readable", "shard", shardName(s.number), "error", err)
		return false
	}
	if o.Version >= s.lease.IfVersion() {
		s.record = rec
	}
	s.lease.Observe(rec.Holder, o.Version, x.Now())
	return true
}

// write writes the shard's object under the lease's condition, and tells whether it is known to have
// taken effect.
func (x *Executor) write(ctx context.Context, s *shard, rec ShardRecord) bool {
	version, err := x.put(ctx, s, rec)
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
	x.Log.Warn("lease not written", "shard", shardName(s.number), "error", err)
	return false
}

func (x *Executor) put(ctx context.Context, s *shard, rec ShardRecord) (uint64, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encode lease: %w", err)
	}
	s.lease.BeginWrite(x.Now())
	return x.Store.Put(ctx, objects.Write{Key: s.key(), IfVersion: s.lease.IfVersion(), WriteID: x.NewID(), Value: data})
}

// release gives a lease back. It is not trusted any more from before the write is sent: where the answer
// is lost, the write may have taken effect and another instance may hold the lease at once.
func (x *Executor) release(ctx context.Context, s *shard) error {
	s.lease.Abandon()
	rec := s.record
	rec.Holder = ""
	version, err := x.put(ctx, s, rec)
	if err != nil {
		s.lease.WriteConflicted()
		return err
	}
	s.record = rec
	s.lease.Released(version, x.Now())
	return nil
}

// Holds tells whether this instance may give orders to a shard's engines at this moment.
func (x *Executor) HoldsLease(shard int) bool {
	s := x.shards[shard]
	return s != nil && s.lease.Valid(x.Now())
}
