package relay

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

const (
	// MaxLeavingSigns bounds the signs that an instance keeps and sends; the newest are kept. The instance list
	// and the upstreams' own answers cover the rest.
	MaxLeavingSigns = 64
	// LeavingSignTTL is how long a sign stays in force unless a source renews it. It covers the lag of the
	// instance list, which shows the departure by then; in the largest fleet the list is read every 115 s.
	LeavingSignTTL = 2 * time.Minute
	// renewAfter is the age from which a source that observes a sign again starts a new round of it.
	renewAfter = LeavingSignTTL / 2
)

// SharedState is the state that instances replicate: the configuration and the leaving signs. It is not safe for
// concurrent use.
type SharedState struct {
	config Config
	signs  []heldSign // sorted by upstream, then boot
}

// heldSign is a LeavingSign with its age as an instant on the clock of this instance.
type heldSign struct {
	upstream   fleet.UpstreamID
	boot       string
	round      uint32
	roundStart decide.Instant // when a source started this round
}

// compare orders signs by upstream, then boot.
func (s heldSign) compare(t heldSign) int {
	if c := strings.Compare(string(s.upstream), string(t.upstream)); c != 0 {
		return c
	}
	return strings.Compare(s.boot, t.boot)
}

// Config returns the configuration in force; version 0 means that there is none yet.
func (st *SharedState) Config() Config { return st.config }

// Apply puts c in force if its version is higher than that of the configuration in force, and reports whether it
// did.
//
// The check guards against a configuration that reverts, which shows as a failure domain that gets work again
// after it was drained. Stale reads of the store, late replies and peers that are behind all deliver old versions.
// The object API assigns a higher version to each accepted write, so applying only higher versions never reverts.
func (st *SharedState) Apply(c Config) bool {
	if c.Version <= st.config.Version || len(c.Packed) == 0 {
		return false
	}
	st.config = c
	return true
}

// ObserveLeaving records that this instance itself observed an upstream leaving, which makes it a source of the
// sign. It reports whether the sign is new or starts a new round.
func (st *SharedState) ObserveLeaving(now decide.Instant, upstream fleet.UpstreamID, boot string) bool {
	s := heldSign{upstream: upstream, boot: boot, roundStart: now}
	if i, found := slices.BinarySearchFunc(st.signs, s, heldSign.compare); found {
		if now.Sub(st.signs[i].roundStart) < renewAfter {
			return false
		}
		s.round = st.signs[i].round + 1
	}
	return st.merge(s)
}

// MergeSigns merges the signs of a peer and reports whether any of them was new or of a higher round.
func (st *SharedState) MergeSigns(now decide.Instant, signs []LeavingSign) bool {
	changed := false
	for _, s := range signs {
		if s.Age >= LeavingSignTTL {
			continue
		}
		changed = st.merge(heldSign{
			upstream: s.Upstream, boot: s.Boot, round: s.Round, roundStart: now.Add(-max(s.Age, 0)),
		}) || changed
	}
	return changed
}

// merge stores a sign that is unknown or of a higher round, and reports whether it did. Ages only grow in transit
// and only a source starts a new round, so instances can't keep a sign alive by exchanging it.
func (st *SharedState) merge(s heldSign) bool {
	i, found := slices.BinarySearchFunc(st.signs, s, heldSign.compare)
	if found {
		if s.round <= st.signs[i].round {
			return false
		}
		st.signs[i] = s
		return true
	}
	st.signs = slices.Insert(st.signs, i, s)
	if len(st.signs) > MaxLeavingSigns {
		st.dropOldest()
	}
	return true
}

// dropOldest removes the sign whose round started first.
func (st *SharedState) dropOldest() {
	oldest := 0
	for i, s := range st.signs {
		if s.roundStart < st.signs[oldest].roundStart {
			oldest = i
		}
	}
	st.signs = slices.Delete(st.signs, oldest, oldest+1)
}

// ExpireSigns removes the signs that have reached LeavingSignTTL and reports whether there were any.
func (st *SharedState) ExpireSigns(now decide.Instant) bool {
	before := len(st.signs)
	st.signs = slices.DeleteFunc(st.signs, func(s heldSign) bool { return now.Sub(s.roundStart) >= LeavingSignTTL })
	return len(st.signs) != before
}

// Signs returns the signs in force with their current ages.
func (st *SharedState) Signs(now decide.Instant) []LeavingSign {
	if len(st.signs) == 0 {
		return nil
	}
	out := make([]LeavingSign, 0, len(st.signs))
	for _, s := range st.signs {
		out = append(out, LeavingSign{Upstream: s.upstream, Boot: s.boot, Round: s.round, Age: now.Sub(s.roundStart)})
	}
	return out
}

// SignsHash returns a hash over the signs without their ages; 0 without signs. Instances with equal hashes need
// not send each other their signs.
func (st *SharedState) SignsHash() uint64 {
	if len(st.signs) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, s := range st.signs {
		_, _ = d.WriteString(string(s.upstream))
		_, _ = d.WriteString("\x00" + s.boot + "\x00")
		_, _ = d.Write(binary.BigEndian.AppendUint32(nil, s.round))
	}
	return d.Sum64()
}

// IsLeaving reports whether the signs say that this boot of the upstream is leaving. Without a known boot (""),
// any sign for the upstream counts.
func IsLeaving(signs []LeavingSign, upstream fleet.UpstreamID, boot string) bool {
	return slices.ContainsFunc(signs, func(s LeavingSign) bool {
		return s.Upstream == upstream && (s.Boot == "" || boot == "" || s.Boot == boot)
	})
}
