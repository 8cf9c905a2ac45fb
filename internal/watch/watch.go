// Package watch keeps a copy of the store's objects that requests depend on: the configuration, the upstreams, the
// failure domains that are out of service, and the other instances. It publishes a catalog.Snapshot whenever one of
// them changes. While the store can't be read, the last known state stays in force. An object that can't be decoded is
// logged: a configuration is ignored, so that the last valid one stays in force, and an entry of an upstream or
// instance is left out.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// KindMembers is the kind of the instances' own entries.
const KindMembers = "damaskshelf-instances"

// Kinds names the store's kinds that operators and upstreams write.
type Kinds struct {
	Config     string
	ConfigName string // name of the object that holds the current configuration
	Upstreams  string // one object per upstream, named by the upstream's id
	DomainsOut string // one object per failure domain that is out of service
}

// Decoder decodes the store's objects. An error names the object, the field and the invalid value.
type Decoder interface {
	Config(o wire.Object) (*catalog.Config, error)
	// Upstream decodes an entry that was received at now.
	Upstream(o wire.Object, now time.Time) (*catalog.Upstream, error)
}

const (
	// maxAnswerLatency is how long a slow answer of the store takes to arrive.
	maxAnswerLatency = 20 * time.Millisecond
	// expiryInterval is how often the copies are checked for ended grace periods, and the process for a pause.
	expiryInterval = 100 * time.Millisecond
)

// Deps holds what a Follower depends on.
type Deps struct {
	Store   objects.Store
	Kinds   Kinds
	Decoder Decoder
	Log     hclog.Logger
	// ConfigWithin is the time within which a new configuration must be in force; 0: not set.
	ConfigWithin time.Duration
	// BootClock returns the time since the machine booted, suspensions included; nil: the machine's. It is set where time is
	// virtual.
	BootClock func() decide.Instant
}

// Follower keeps this instance's copies of the store current, by reading the store or from the changes that other
// instances report. It is safe for concurrent use.
type Follower struct {
	deps        Deps
	log         hclog.Logger
	started     time.Time
	snapshot    atomic.Pointer[catalog.Snapshot]
	pauses      *pauseDetector
	joinDelay   time.Duration            // guarded by mu: delay before a starting instance lists the others
	sharesReads bool                     // this instance shares the reading of the store with others
	onChange    func(c Change, own bool) // nil: changes aren't reported

	era           atomic.Uint64 // the latest era of the store that is known
	mu            sync.Mutex
	replicas      map[string]*replica                    // guarded by mu: by kind
	config        *catalog.Config                        // guarded by mu: in force
	triedRevision uint64                                 // guarded by mu: of the last configuration that was decoded
	upstreams     map[fleet.UpstreamID]*catalog.Upstream // guarded by mu: decoded entries
	values        map[fleet.UpstreamID][]byte            // guarded by mu: values that upstreams were decoded from
	members       map[fleet.InstanceID]*catalog.Member   // guarded by mu: decoded entries
	undecodable   map[string]uint64                      // guarded by mu: revisions of entries that can't be decoded
	departures    *departures                            // guarded by mu
	interrupt     chan struct{}                          // guarded by mu: closed to end pending reads
	outageSince   time.Time                              // guarded by mu: since when no instance can read the store; zero: no outage
	role          Role                                   // guarded by mu
	readsSucceed  bool                                   // guarded by mu: a read has succeeded in this role and none has failed since
	recheck       chan struct{}                          // guarded by mu: closed to wake idle read loops
	// unattachedSince is when the instance last had a dispatcher, or its start. It is valid while the role is
	// Unattached.
	unattachedSince time.Time // guarded by mu
}

// New returns a Follower with empty copies.
func New(d Deps) *Follower {
	k := d.Kinds
	now := time.Now()
	f := &Follower{
		deps: d, log: d.Log.Named("watch"), started: now, unattachedSince: now, pauses: newPauseDetector(d.BootClock), joinDelay: rand.N(maxJoinDelay),
		upstreams:   map[fleet.UpstreamID]*catalog.Upstream{},
		values:      map[fleet.UpstreamID][]byte{},
		members:     map[fleet.InstanceID]*catalog.Member{},
		undecodable: map[string]uint64{},
		departures:  newDepartures(),
		interrupt:   make(chan struct{}),
		recheck:     make(chan struct{}),
	}
	f.replicas = map[string]*replica{
		k.Config:     newReplica(k.Config, retention{restoreGrace: restoreGrace, takesBack: f.configTakesBack}),
		k.Upstreams:  newReplica(k.Upstreams, retention{outageGrace: lapseGrace, restoreGrace: lapseGrace, takesBack: f.upstreamTakesBack}),
		k.DomainsOut: newReplica(k.DomainsOut, retention{restoreGrace: restoreGrace}),
		KindMembers:  newReplica(KindMembers, retention{restoreGrace: restoreGrace}),
	}
	f.snapshot.Store(catalog.NewSnapshot(nil, nil, nil, nil, 0))
	return f
}

// ShareReads makes the Follower share the reading of the store with other instances. Without it the Follower reads
// everything itself. It must be called before Run. onChange is called with each change of the copies while the
// Follower's lock is held; own is false if another instance reported the change, and true if this instance read it from
// the store or ended a grace period.
func (f *Follower) ShareReads(onChange func(c Change, own bool)) {
	f.sharesReads, f.onChange = true, onChange
}

// Snapshot returns the current snapshot; it is never nil.
func (f *Follower) Snapshot() *catalog.Snapshot { return f.snapshot.Load() }

// Run keeps the copies of every kind current until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for kind := range f.replicas {
		wg.Go(func() { f.readLoop(ctx, kind) })
	}
	wg.Go(func() { f.expireLoop(ctx) })
	wg.Wait()
}

// readDone applies the result of a read to the copy of the kind and publishes what changed. It records a failed read
// and returns its error. full states that the result is a list and not the answer of a watch.
func (f *Follower) readDone(kind string, l wire.List, full bool, began time.Time, err error) error {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.replicas[kind]
	r.readDue = time.Time{}
	if err != nil {
		if !errors.Is(err, objects.ErrTooOld) && !errors.Is(err, context.Canceled) {
			f.readFailed(kind, r, now, err)
		}
		return err
	}
	if !r.failedSince.IsZero() {
		f.log.Info("store regained", "kind", kind, "away", now.Sub(r.failedSince).Round(time.Millisecond))
	}
	f.endOutage(now)
	if !f.readsSucceed {
		f.readsSucceed = true
		f.wakeLoops()
	}
	if !full {
		// The answer of a watch reflects the store at the time it was sent, even if it contains no change, and
		// never a time before the call.
		began = later(began, now.Add(-maxAnswerLatency))
	}
	r.readSucceeded(began, now)
	if f.noteEra(l.Version) {
		f.relistAll()
	}
	held, leftOut := r.revision, r.leftOut
	defer func() { f.logLeftOut(r, held, l.Version, r.leftOut-leftOut) }()
	if full {
		f.publishChange(r.applyList(l, now), true, now)
	} else {
		f.publishChange(r.applyWatch(l, now), true, now)
	}
	return nil
}

// logLeftOut logs that what was read from the store is older than what is held: its revision is lower, or some of its
// objects were left out.
func (f *Follower) logLeftOut(r *replica, held, read uint64, leftOut int) {
	if leftOut > 0 || read < held {
		f.log.Info("store was read at an older state than the one held", "kind", r.kind, "revision", objects.FormatVersion(read),
			"held", objects.FormatVersion(held), "left_out", leftOut)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// publishChange publishes a change of a copy and reports it to onChange. mu is held.
func (f *Follower) publishChange(c Change, own bool, now time.Time) {
	if c.empty() {
		return
	}
	f.publish(c.Kind, now)
	if f.onChange != nil {
		f.onChange(c, own)
	}
}

// readFailed records and logs that a read of a kind failed. mu is held.
func (f *Follower) readFailed(kind string, r *replica, now time.Time, err error) {
	if r.failedSince.IsZero() {
		f.log.Warn("store lost: the last known state stays in force", "kind", kind, "revision", objects.FormatVersion(r.revision), "error", err)
	}
	r.readFailed(now)
	f.recordOutage(now)
	f.readsSucceed = false
}

// expireLoop checks for pauses of the process and for ended grace periods until ctx ends.
func (f *Follower) expireLoop(ctx context.Context) {
	defer crash.Report("watch expiry")
	for wait.For(ctx, expiryInterval) {
		if paused := f.pauses.tick(); paused > 0 {
			f.log.Warn("process was paused: nothing is sent until what is known is proven", "for", paused)
			f.interruptReads()
		}
		now := time.Now()
		f.mu.Lock()
		for _, r := range f.replicas {
			f.publishChange(r.endGracePeriods(now), true, now)
		}
		f.mu.Unlock()
	}
}
