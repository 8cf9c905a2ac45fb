package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/share"
)

// reservedParts is the number of parts of an engine's slots that standing.reserved counts. With few distinct values,
// cannotBePacked holds for many jobs.
const reservedParts = 12

// shares holds the usage of the workspaces and kinds of a service for which shares are configured.
type shares struct {
	capacity   share.Capacity
	table      *share.Table
	kinds      share.Kinds                   // by promptKind
	contention [promptKinds]share.Contention // whose jobs of the kind waited last
}

// standing is what the order of the queue needs to know of a queued job. Its kind and amount are those by the model at the
// time when it was queued.
type standing struct {
	account  *share.Account // of its workspace; nil unless the job is queued under ByForecast
	kind     promptKind
	amount   share.Amount
	rank     int   // jobs with a lower rank are placed first; of the current step
	reserved uint8 // part of an engine's slots that it leaves free, in 1/reservedParts
	waited   bool
}

// setShares starts to count usage when shares are configured, and stops when they are no longer.
func (s *State) setShares() {
	switch {
	case !s.byForecast() || len(s.params.Shares) == 0:
		s.stopShares()
		return
	case s.shares == nil:
		s.startShares()
	}
	s.shares.table.SetLimits(s.params.Shares)
	s.setShareCapacity()
}

// startShares counts all queued jobs and runs.
func (s *State) startShares() {
	s.shares = &shares{table: share.NewTable(), kinds: make(share.Kinds, promptKinds)}
	for _, j := range slices.Concat(s.queue, s.early) {
		s.enqueueShare(j)
	}
	for _, r := range s.runs {
		s.startShare(s.now, r.startedAt, r)
	}
}

// stopShares removes what startShares and later events counted.
func (s *State) stopShares() {
	if s.shares == nil {
		return
	}
	s.shares = nil
	for _, j := range slices.Concat(s.queue, s.early) {
		j.standing = standing{}
	}
	for _, r := range s.runs {
		r.account = nil
	}
}

// setShareCapacity sets the capacity of the engines that may receive jobs.
func (s *State) setShareCapacity() {
	if s.shares == nil {
		return
	}
	c := share.Capacity{}
	for _, e := range s.orderedEngines {
		if !e.closed {
			c.Engines++
			c.Slots += e.slots(s.model)
		}
	}
	c.KVTokens = int(float64(s.model.KVCacheTokens) * s.params.MemoryShare * float64(c.Engines))
	s.shares.capacity = c
	s.shares.table.SetCapacity(c)
}

// amountOf returns what the job needs of each resource.
func (s *State) amountOf(j *Job) share.Amount {
	return share.Amount{Slots: 1, KVTokens: j.PromptTokens + j.MaxOutputTokens, PrefillMs: s.model.prefillMs(j.PromptTokens)}
}

// enqueueShare counts a job that was added to the queue.
func (s *State) enqueueShare(j *Job) {
	if s.shares != nil {
		j.excess = false
		j.standing = standing{account: s.shares.table.Enqueue(j.Workspace), kind: s.kindOf(j), amount: s.amountOf(j)}
	}
}

// dequeueShare removes a job that was removed from the queue.
func (s *State) dequeueShare(j *Job) {
	if j.standing.account != nil {
		s.shares.table.Dequeue(j.standing.account)
		j.standing = standing{}
	}
}

// settleShare removes a job that was placed or refused in this step, and counts the outcome for its kind.
func (s *State) settleShare(now decide.Instant, d Decision) {
	if s.shares == nil {
		return
	}
	if k := &s.shares.kinds[d.Job.standing.kind]; d.Upstream != "" {
		k.Placed(now, d.Job.PromptTokens)
	} else {
		k.Refused(now, d.Job.PromptTokens)
	}
	s.dequeueShare(d.Job)
}

// startShare counts the usage of a run whose prefill was placed at placedAt.
func (s *State) startShare(now, placedAt decide.Instant, r *run) {
	if s.shares == nil {
		return
	}
	r.amount, r.shareKind = s.amountOf(r.job), s.kindOf(r.job)
	r.account = s.shares.table.Start(now, placedAt, r.job.Workspace, r.amount)
	s.shares.kinds[r.shareKind].Start(now, placedAt, r.amount)
}

// placedAt returns when the prefill of a job was placed that is started at now. An adopted job, which was not queued here,
// was placed by another dispatcher, soon after it arrived.
func placedAt(now decide.Instant, j *Job) decide.Instant {
	if j.standing.account == nil {
		return min(now, j.Arrived)
	}
	return now
}

// endShare removes the slots and the KV cache of a run.
func (s *State) endShare(r *run) {
	if r.account == nil {
		return
	}
	s.shares.table.End(r.account, r.amount)
	s.shares.kinds[r.shareKind].End(r.amount)
	r.account = nil
}

// updateShares records which jobs wait, and ranks the queued jobs, at the beginning of a step.
func (s *State) updateShares(now decide.Instant) {
	if s.shares == nil {
		return
	}
	contended := s.noteWaiting(now)
	s.shares.kinds.Update(now, s.shares.capacity)
	for _, j := range s.queue {
		j.standing.rank = 0
		if contended {
			j.standing.rank = s.shareRank(now, j)
		}
	}
}

// noteWaiting records the jobs that stayed queued in an earlier step. It reports whether jobs wait, or did a moment ago.
// Jobs that may not use every engine don't count: others may have room all the same.
func (s *State) noteWaiting(now decide.Instant) bool {
	s.shares.kinds.ClearWaiting()
	for _, j := range s.queue {
		if kind := j.standing.kind; j.standing.waited && !j.awaiting && !j.alone && len(j.Avoid) == 0 {
			s.shares.contention[kind].Note(now, j.standing.account)
			s.shares.kinds[kind].Wait(j.standing.amount)
		}
		j.standing.waited = true
		j.standing.account.ClearPlan()
	}
	for i := range s.shares.contention {
		if s.shares.contention[i].Any(now) {
			return true
		}
	}
	return false
}

// shareRank returns the job's rank under contention: first by how far its workspace is over its equal part, in doublings;
// then jobs of a kind that is owed; then jobs of workspaces within their part. Steps of a doubling leave the order among
// workspaces of similar usage to prefillCost, which serves more callers.
func (s *State) shareRank(now decide.Instant, j *Job) int {
	r := s.shares.table.RankNext(now, j.standing.account, j.standing.amount)
	rank := r.Excess << 2
	if !s.shares.kinds[j.standing.kind].Owed() {
		rank |= 2
	}
	if r.OverOne {
		rank |= 1
	}
	return rank
}

// compareShares orders two jobs of the same urgency by what their workspaces and kinds use.
func (s *State) compareShares(a, b *Job) int { return cmp.Compare(a.standing.rank, b.standing.rank) }

// updateReserved determines which part of an engine's slots the job leaves free. A workspace far over its equal part leaves
// some while jobs of the kind from other workspaces wait, so that those which arrive in the next moments need not wait
// until a run ends. One that has reached its maximum share uses only idle engines.
func (s *State) updateReserved(now decide.Instant, j *Job) {
	a := j.standing.account
	if a == nil || j.Resumed {
		return
	}
	j.standing.reserved = 0
	switch {
	case s.shares.table.ReachesMax(now, a):
		if s.othersWait(now, a) {
			j.standing.reserved = reservedParts
		}
	case s.shares.contention[j.standing.kind].ByOthers(now, a):
		j.standing.reserved = uint8(math.Ceil(reservedParts * s.shares.table.Reserve(now, a)))
	}
}

// othersWait reports whether jobs of other workspaces than the account's wait, or did a moment ago.
func (s *State) othersWait(now decide.Instant, a *share.Account) bool {
	for i := range s.shares.contention {
		if s.shares.contention[i].ByOthers(now, a) {
			return true
		}
	}
	return false
}

// slotsFor returns the number of slots of the engine that the job may use. One is always left to it, so that no share
// keeps an engine idle.
func (s *State) slotsFor(e *engine, j *Job) int {
	slots := e.slots(s.model)
	switch {
	case j.excess && !s.byForecast(): // under forecast excess only goes last, so that no room stays unused
		return max(1, int(excessSlotShare*float64(slots)))
	case j.standing.reserved > 0:
		return max(1, slots-slots*int(j.standing.reserved)/reservedParts)
	default:
		return slots
	}
}
