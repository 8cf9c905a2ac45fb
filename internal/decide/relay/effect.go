package relay

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Reasons of this package, beside those of member and pause.
const (
	ConfigApplied         decide.Reason = "config_taken"
	ConfigStale           decide.Reason = "config_older" // not above the one in force: dropped
	BootstrappedFromStore decide.Reason = "bootstrap_store"
	BootstrappedFromPeers decide.Reason = "bootstrap_peers"
	BootstrapFailed       decide.Reason = "bootstrap_failed"
	StoreLost             decide.Reason = "store_lost"
	StoreRegained         decide.Reason = "store_back"
	WatcherStarted        decide.Reason = "watcher_started"
	WatcherStopped        decide.Reason = "watcher_stopped"
	SignReceived          decide.Reason = "upstream_leaving"
	SignExpired           decide.Reason = "sign_expired"
	TrustEnded            decide.Reason = "trust_ended" // nobody was heard for the bound: no new work
	TrustRegained         decide.Reason = "trust_back"
)

// Reasons lists every reason that a Node's events carry.
var Reasons = slices.Concat([]decide.Reason{
	ConfigApplied, ConfigStale, BootstrappedFromStore, BootstrappedFromPeers, BootstrapFailed, StoreLost, StoreRegained,
	WatcherStarted, WatcherStopped, SignReceived, SignExpired, TrustEnded, TrustRegained,
}, member.Reasons, pause.Reasons)

// Effect is what a Node asks its driver to do. The driver does them in order, without waiting for the
// calls among them, and hands each call's outcome back with the effect itself.
type Effect interface{ effect() }

// SendHeartbeat exchanges digests with a peer; outcome to HeartbeatDone.
type SendHeartbeat struct {
	To     fleet.Instance
	Sent   decide.Instant
	Digest Digest
}

// PullConfig asks an instance for its configuration above a version; outcome to PullDone.
type PullConfig struct {
	From      fleet.Instance
	Sent      decide.Instant
	Above     uint64
	Bootstrap bool
}

// ReadStore reads the configuration object; outcome to ReadDone.
type ReadStore struct {
	Sent decide.Instant
}

// WatchStore waits for a configuration above a version; outcome to WatchDone.
type WatchStore struct {
	Sent  decide.Instant
	Above uint64
	Wait  time.Duration
}

// PutInForce hands a new configuration to the writer of the view.
type ApplyConfig struct {
	Config Config
}

// SetLeaving hands the signs in force to the writer of the view.
type SetLeaving struct {
	Signs []LeavingSign
}

// Event is one line for the log.
type Event struct {
	Reason  decide.Reason
	Peer    fleet.InstanceID // "": none
	Version uint64           // of the configuration it is about; 0: none
	Gap     time.Duration    // of a pause
	Sign    LeavingSign      // of SignTaken
}

func (SendHeartbeat) effect() {}
func (PullConfig) effect()    {}
func (ReadStore) effect()     {}
func (WatchStore) effect()    {}
func (ApplyConfig) effect()   {}
func (SetLeaving) effect()    {}
func (Event) effect()         {}

// StoreAnswer is the outcome of a call to the store.
type StoreAnswer uint8

// The outcomes of a call to the store.
const (
	StoreFailed StoreAnswer = iota
	StoreFound              // the configuration is beside it
	StoreAbsent             // there is no configuration yet, or no change for a watch
)
