// Package watch follows the store: configuration, upstreams, failure domains that are taken out, and the
// other instances. It publishes a catalog.Snapshot whenever one of them changes. What can't be read is
// logged and leaves the last good state in force.
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
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// KindMembers is the kind of the instances' own objects.
const KindMembers = "damaskshelf-instances"

// Kinds are the store's kinds that operators and upstreams write.
type Kinds struct {
	Config     string
	ConfigName string // of the one object that holds the newest configuration
	Upstreams  string // an object each, named by the upstream's id
	DomainsOut string // an object for each failure domain that is taken out
}

// Decoder reads the store's objects. An error names the object, field and value at fault.
type Decoder interface {
	Config(o wire.Object) (*catalog.Config, error)
	// Upstream reads an entry that came at now.
	Upstream(o wire.Object, now time.Time) (*catalog.Upstream, error)
}

const (
	// answerTime is how long a slow answer of the store is on its way.
	answerTime = 20 * time.Millisecond
	// expiry is how often lapsed entries are looked for.
	expiry = 100 * time.Millisecond
)

// Deps are what a Follower works with.
type Deps struct {
	Store   objects.Store
	Kinds   Kinds
	Decoder Decoder
	Log     hclog.Logger
	// ConfigWithin is the time in which a configuration must be in force; 0: not said.
	ConfigWithin time.Duration
}

// Follower follows the store, by reading it or by what other instances that read it tell.
type Follower struct {
	deps       Deps
	log        hclog.Logger
	started    time.Time
	snapshot   atomic.Pointer[catalog.Snapshot]
	doubt      *doubt
	joinDelay  time.Duration            // guarded by mu: how long it waits to be told the other instances
	shares     bool                     // it is one of several that share the reading
	tellChange func(c Change, own bool) // nil: it shares with nobody

	mu        sync.Mutex
	mirrors   map[string]*mirror                     // guarded by mu
	config    *catalog.Config                        // guarded by mu: the highest version seen
	tried     uint64                                 // guarded by mu: revision of the last configuration looked at
	upstreams map[fleet.UpstreamID]*catalog.Upstream // guarded by mu: decoded entries
	members   map[fleet.InstanceID]*catalog.Member   // guarded by mu
	spoiled   map[string]uint64                      // guarded by mu: revision of entries that can't be read
	left      *departures                            // guarded by mu: upstreams that leave by another word than the store's
	breaks    chan struct{}                          // guarded by mu: closed when reads under way are to end
	failing   time.Time                              // guarded by mu: since when nobody can read the store; zero: somebody can
	role      Role                                   // guarded by mu
	led       bool                                   // guarded by mu: a read has succeeded in this role, and none failed since
	woken     chan struct{}                          // guarded by mu: closed when who reads what may have changed
	// unattached is since when there has been no dispatcher.
	unattached time.Time // guarded by mu
}

// New gives a Follower that knows nothing yet.
func New(d Deps) *Follower {
	k := d.Kinds
	now := time.Now()
	f := &Follower{
		deps: d, log: d.Log.Named("watch"), started: now, unattached: now, doubt: newDoubt(), joinDelay: rand.N(joinTime),
		mirrors: map[string]*mirror{
			k.Config: newMirror(k.Config, false), k.Upstreams: newMirror(k.Upstreams, true),
			k.DomainsOut: newMirror(k.DomainsOut, false), KindMembers: newMirror(KindMembers, false),
		},
		upstreams: map[fleet.UpstreamID]*catalog.Upstream{},
		members:   map[fleet.InstanceID]*catalog.Member{},
		spoiled:   map[string]uint64{},
		left:      newDepartures(),
		breaks:    make(chan struct{}),
		woken:     make(chan struct{}),
	}
	f.snapshot.Store(catalog.NewSnapshot(nil, nil, nil, nil, 0))
	return f
}

// Share makes the Follower one of several that share the reading of the store. It is called before Run; alone
// a Follower reads everything. changed is called, under the Follower's lock, with each change of its copies; own
// tells that it was read from the store here.
func (f *Follower) ShareReads(changed func(c Change, own bool)) {
	f.shares, f.tellChange = true, changed
}

// Snapshot gives what is known now; never nil.
func (f *Follower) Snapshot() *catalog.Snapshot { return f.snapshot.Load() }

// Run follows every kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var all sync.WaitGroup
	for kind := range f.mirrors {
		all.Go(func() { f.follow(ctx, kind) })
	}
	all.Go(func() { f.expire(ctx) })
	all.Wait()
}

// took takes the outcome of a read into the kind's mirror, and publishes what changed.
func (f *Follower) took(kind string, l wire.List, whole bool, began time.Time, err error) error {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.mirrors[kind]
	m.due = time.Time{}
	if err != nil {
		if !errors.Is(err, objects.ErrTooOld) && !errors.Is(err, context.Canceled) {
			f.lost(kind, m, now, err)
		}
		return err
	}
	if !m.failed.IsZero() {
		f.log.Info("store regained", "kind", kind, "away", now.Sub(m.failed).Round(time.Millisecond))
	}
	f.regained(now)
	if !f.led {
		f.led = true
		f.wake()
	}
	if !whole {
		// A watch's answer is as of its return, also when it saw nothing, and of no moment before its call.
		began = later(began, now.Add(-answerTime))
	}
	m.succeed(began, now)
	if whole {
		f.changed(m.replace(l, now), true, now)
	} else {
		f.changed(m.follow(l, now), true, now)
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// changed passes a change of a copy on and publishes it; mu is held.
func (f *Follower) changed(c Change, own bool, now time.Time) {
	if c.empty() {
		return
	}
	f.publish(c.Kind, now)
	if f.tellChange != nil {
		f.tellChange(c, own)
	}
}

func (f *Follower) lost(kind string, m *mirror, now time.Time, err error) {
	if m.failed.IsZero() {
		f.log.Warn("store lost: the last known state stays in force", "kind", kind, "revision", m.revision, "error", err)
	}
	m.fail(now)
	f.failed(now)
	f.led = false
}

func (f *Follower) expire(ctx context.Context) {
	for wait.For(ctx, expiry) {
		if paused := f.doubt.notice(); paused > 0 {
			f.log.Warn("process was paused: nothing is sent until what is known is proven", "for", paused)
			f.breakReads()
		}
		now := time.Now()
		f.mu.Lock()
		f.changed(f.mirrors[f.deps.Kinds.Upstreams].expire(now), true, now)
		f.mu.Unlock()
	}
}
