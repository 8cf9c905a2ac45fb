package share

import (
	"math"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Limits are the configured share of a workspace under contention.
type Limits struct {
	Weight float64 // relative to that of others
	Max    float64 // share of each resource that it may use, up to 1
}

// DefaultLimits are the limits of a workspace for which none are configured.
var DefaultLimits = Limits{Weight: 1, Max: 1}

const (
	// maxExcess is the greatest Rank.Excess, beyond that of any number of workspaces.
	maxExcess = 16
	// farOverLevel is the level from which a workspace counts as far over its equal part. Below it, differences are those
	// of a few long prompts.
	farOverLevel = 2
	// reservePerDoubling and maxReserve bound Table.Reserve. In the model (internal/bench/passes) a smaller part delays
	// others during a surge, and a greater one serves them no better.
	reservePerDoubling = 1.0 / 6
	maxReserve         = 0.5
)

// Account is the usage of a workspace that has jobs.
type Account struct {
	Usage
	workspace fleet.WorkspaceID
	limits    Limits
	queued    int
	running   int

	planned Amount // of its queued jobs that were ranked in this step

	// prefillMs is the decayed prefill, and dominant the dominant share, at computedAt. They are invalid if changed is set.
	prefillMs, dominant float64
	computedAt          decide.Instant
	changed             bool
}

// Table holds the accounts of the workspaces that have jobs queued or running. Only these share the resources. It is not
// safe for concurrent use.
type Table struct {
	capacity Capacity
	limits   map[fleet.WorkspaceID]Limits
	accounts map[fleet.WorkspaceID]*Account
	weight   float64    // sum over accounts
	slots    int        // in use, sum over accounts
	unused   []*Account // for reuse: a workspace with single requests comes and goes with each of them
}

// NewTable returns a Table without accounts.
func NewTable() *Table { return &Table{accounts: map[fleet.WorkspaceID]*Account{}} }

// SetCapacity sets the capacity of which shares are computed.
func (t *Table) SetCapacity(c Capacity) {
	t.capacity = c
	for _, a := range t.accounts {
		a.changed = true
	}
}

// SetLimits sets the limits of workspaces. One that is not in limits has DefaultLimits.
func (t *Table) SetLimits(limits map[fleet.WorkspaceID]Limits) {
	t.limits, t.weight = limits, 0
	for _, a := range t.accounts {
		a.limits = t.limitsOf(a.workspace)
		t.weight += a.limits.Weight
	}
}

// limitsOf returns the limits of a workspace.
func (t *Table) limitsOf(workspace fleet.WorkspaceID) Limits {
	if l, ok := t.limits[workspace]; ok {
		return l
	}
	return DefaultLimits
}

// Enqueue counts a queued job of the workspace and returns the workspace's account.
func (t *Table) Enqueue(workspace fleet.WorkspaceID) *Account {
	a := t.account(workspace)
	a.queued++
	return a
}

// Dequeue removes a queued job from the account, which must not be used after its last job.
func (t *Table) Dequeue(a *Account) {
	a.queued--
	t.forgetIfUnused(a)
}

// Start adds a run of the workspace at now, whose prefill was placed at placedAt. It returns the workspace's account.
func (t *Table) Start(now, placedAt decide.Instant, workspace fleet.WorkspaceID, amount Amount) *Account {
	a := t.account(workspace)
	a.running++
	a.Usage.Start(now, placedAt, amount)
	t.slots += amount.Slots
	a.changed = true
	return a
}

// End removes a run from the account, which must not be used after its last job.
func (t *Table) End(a *Account, amount Amount) {
	a.running--
	a.Usage.End(amount)
	t.slots -= amount.Slots
	a.changed = true
	t.forgetIfUnused(a)
}

// account returns the workspace's account, and opens it if there is none.
func (t *Table) account(workspace fleet.WorkspaceID) *Account {
	if a := t.accounts[workspace]; a != nil {
		return a
	}
	var a *Account
	if n := len(t.unused); n > 0 {
		a, t.unused = t.unused[n-1], t.unused[:n-1]
	} else {
		a = &Account{}
	}
	*a = Account{workspace: workspace, limits: t.limitsOf(workspace), changed: true}
	t.accounts[workspace] = a
	t.weight += a.limits.Weight
	return a
}

// forgetIfUnused removes the account if it has no jobs.
func (t *Table) forgetIfUnused(a *Account) {
	if a.queued > 0 || a.running > 0 {
		return
	}
	delete(t.accounts, a.workspace)
	t.unused = append(t.unused, a)
	if t.weight -= a.limits.Weight; len(t.accounts) == 0 {
		t.weight = 0 // sums of fractions leave a rest
	}
}

// Workspaces returns the number of workspaces that have jobs.
func (t *Table) Workspaces() int { return len(t.accounts) }

// update computes the account's decayed prefill and dominant share for now.
func (t *Table) update(now decide.Instant, a *Account) {
	if a.changed || a.computedAt != now {
		a.prefillMs, a.computedAt, a.changed = a.prefill.at(now, PrefillWindow), now, false
		a.dominant = Amount{Slots: a.slots, KVTokens: a.kvTokens, PrefillMs: a.prefillMs}.dominant(t.capacity)
	}
}

// dominantAt returns the account's dominant share at now.
func (t *Table) dominantAt(now decide.Instant, a *Account) float64 {
	t.update(now, a)
	return a.dominant
}

// plannedDominant returns the account's dominant share at now if its planned jobs ran as well.
func (t *Table) plannedDominant(now decide.Instant, a *Account) float64 {
	t.update(now, a)
	if a.planned.Slots == 0 {
		return a.dominant
	}
	used := a.planned
	used.add(Amount{Slots: a.slots, KVTokens: a.kvTokens, PrefillMs: a.prefillMs})
	return used.dominant(t.capacity)
}

// level returns a dominant share of the workspace, divided by its equal part.
func (t *Table) level(a *Account, dominant float64) float64 {
	return dominant * t.weight / a.limits.Weight
}

// Levels returns the number of workspaces that have jobs, and their highest and mean level.
func (t *Table) Levels(now decide.Instant) (workspaces int, worst, mean float64) {
	for _, a := range t.accounts {
		level := t.Level(now, a)
		worst = max(worst, level)
		mean += level / float64(len(t.accounts))
	}
	return len(t.accounts), worst, mean
}

// Level returns the workspace's dominant share, divided by its equal part: its weight over the weights of all workspaces
// that have jobs. A workspace up to level 1 uses no more than it may claim.
func (t *Table) Level(now decide.Instant, a *Account) float64 {
	return t.level(a, t.dominantAt(now, a))
}

// excess returns how often a level doubles from 1, at most maxExcess. It is 0 below farOverLevel.
func excess(level float64) int {
	if level < farOverLevel {
		return 0
	}
	return min(maxExcess, math.Ilogb(level))
}

// Rank is the place of a job among those of other workspaces.
type Rank struct {
	Excess  int  // doublings of the workspace's level above its equal part; jobs with a lower value go first
	OverOne bool // the level is above 1; jobs with false go first among those of the same Excess
}

// ClearPlan forgets the jobs that were ranked for the account.
func (a *Account) ClearPlan() { a.planned = Amount{} }

// RankNext returns the rank of a queued job of the workspace, as if its jobs that were ranked before, since ClearPlan, had
// been placed. Without that a workspace with many new jobs in one step would place all of them by the usage from before.
func (t *Table) RankNext(now decide.Instant, a *Account, amount Amount) Rank {
	dominant := t.plannedDominant(now, a)
	a.planned.add(amount)
	if a.limits.capped() && dominant >= a.limits.Max {
		return Rank{Excess: maxExcess, OverOne: true}
	}
	level := t.level(a, dominant)
	return Rank{Excess: excess(level), OverOne: level > 1}
}

// Reserve returns the part of the slots that a job of the workspace leaves free while jobs of others find no room. It
// grows with the workspace's excess. It is never more than what the others use, so that a workspace with most of the load
// is not held back for jobs that don't exist.
func (t *Table) Reserve(now decide.Instant, a *Account) float64 {
	doublings := excess(t.Level(now, a))
	if doublings == 0 {
		return 0
	}
	othersUse := ratio(float64(t.slots-a.slots), t.capacity.Slots)
	return min(maxReserve, reservePerDoubling*float64(doublings), othersUse)
}

// ReachesMax reports whether the workspace uses its maximum share of a resource.
func (t *Table) ReachesMax(now decide.Instant, a *Account) bool {
	return a.limits.capped() && t.dominantAt(now, a) >= a.limits.Max
}

// capped reports whether there is a maximum share. One of 1 is none: prefill is an average, which can exceed the engines' time
// for a moment.
func (l Limits) capped() bool { return l.Max < 1 }
