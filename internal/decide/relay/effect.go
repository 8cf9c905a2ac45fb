package relay

import (
	"slices"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/member"
	"github.com/damaskshelf/damaskshelf/internal/decide/pause"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Reasons of this package, besides those of member and pause.
const (
	ConfigApplied         decide.Reason = "config_taken"
	ConfigStale           decide.Reason = "config_older" // not above the version in force, dropped
	BootstrappedFromStore decide.Reason = "bootstrap_store"
	BootstrappedFromPeers decide.Reason = "bootstrap_peers"
	BootstrapFailed       decide.Reason = "bootstrap_failed"
	StoreLost             decide.Reason = "store_lost"
	StoreRegained         decide.Reason = "store_back"
	WatcherStarted        decide.Reason = "watcher_started"
	WatcherStopped        decide.Reason = "watcher_stopped"
	SignReceived          decide.Reason = "upstream_leaving"
	SignExpired           decide.Reason = "sign_expired"
	TrustEnded            decide.Reason = "trust_ended" // no exchange extended trust in time: no new work is sent
	TrustRegained         decide.Reason = "trust_back"
)

// Reasons lists every reason that a Node's events carry.
var Reasons = slices.Concat([]decide.Reason{
	ConfigApplied, ConfigStale, BootstrappedFromStore, BootstrappedFromPeers, BootstrapFailed, StoreLost, StoreRegained,
	WatcherStarted, WatcherStopped, SignReceived, SignExpired, TrustEnded, TrustRegained,
}, member.Reasons, pause.Reasons)

// Effect is an action that a Node requests from its driver. The driver carries out effects in order and doesn't
// wait for calls to finish. It returns the outcome of each call to the Node, together with the effect.
type Effect interface{ effect() }

// SendHeartbeat exchanges digests with a peer; the outcome goes to HeartbeatDone.
type SendHeartbeat struct {
	To     fleet.Instance
	Sent   decide.Instant
	Digest Digest
}

// PullConfig requests the configuration of an instance if its version is higher than Above; the outcome goes to
// PullDone.
type PullConfig struct {
	From      fleet.Instance
	Sent      decide.Instant
	Above     uint64
	Bootstrap bool // part of the start-up of this instance
}

// ReadStore reads the configuration object; the outcome goes to ReadDone.
type ReadStore struct {
	Sent decide.Instant
}

// WatchStore waits for a configuration with a version above Above, at most for Wait; the outcome goes to
// WatchDone.
type WatchStore struct {
	Sent  decide.Instant
	Above uint64
	Wait  time.Duration
}

// ApplyConfig passes a new configuration to the writer of the view.
type ApplyConfig struct {
	Config Config
}

// SetLeaving passes the signs in force to the writer of the view.
type SetLeaving struct {
	Signs []LeavingSign
}

// Event is one log line.
type Event struct {
	Reason  decide.Reason
	Peer    fleet.InstanceID // "": none
	Version uint64           // of the configuration concerned; 0: none
	Gap     time.Duration    // length of a pause
	Sign    LeavingSign      // set with SignReceived
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
	StoreFound              // a configuration is returned
	StoreAbsent             // no configuration exists yet, or a watch ended without a change
)
