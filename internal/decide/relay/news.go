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
	// MaxSigns bounds the signs that an instance keeps and sends, newest first: the instance list and the
	// upstreams' own answers tell the rest.
	MaxLeavingSigns = 64
	// SignTTL is how long a sign lives that no source sees again. It covers the lag of the instance list,
	// which then tells by itself; at the largest fleet the list is read every 115 s.
	LeavingSignTTL = 2 * time.Minute
	// renewAfter is the age from which a source that sees a sign again makes it news.
	renewAfter = LeavingSignTTL / 2
)

// News is what spreads: the configuration and the signs. It is not safe for concurrent use.
type SharedState struct {
	config Config
	signs  []heldSign // sorted by upstream, then boot
}

type heldSign struct {
	upstream fleet.UpstreamID
	boot     string
	round    uint32
	born     decide.Instant
}

func (s heldSign) compare(t heldSign) int {
	if c := strings.Compare(string(s.upstream), string(t.upstream)); c != 0 {
		return c
	}
	return strings.Compare(s.boot, t.boot)
}

// Config is the configuration in force; version 0: none yet.
func (n *SharedState) Config() Config { return n.config }

// Take puts c in force if its version is higher than the one in force.
//
// A configuration that reverts shows as a domain that takes work again after it was taken out. Stale
// reads of the store, late answers, and peers that are behind all bring old versions; the object API
// gives each accepted write a higher version, so taking only higher ones never goes back.
func (n *SharedState) Apply(c Config) bool {
	if c.Version <= n.config.Version || len(c.Packed) == 0 {
		return false
	}
	n.config = c
	return true
}

// See takes a source's own sight of a sign and tells whether it is news.
func (n *SharedState) ObserveLeaving(now decide.Instant, upstream fleet.UpstreamID, boot string) bool {
	s := heldSign{upstream: upstream, boot: boot, born: now}
	if i, found := slices.BinarySearchFunc(n.signs, s, heldSign.compare); found {
		if now.Sub(n.signs[i].born) < renewAfter {
			return false
		}
		s.round = n.signs[i].round + 1
	}
	return n.learn(s)
}

// Learn takes a peer's signs and tells whether any was news.
func (n *SharedState) MergeSigns(now decide.Instant, signs []LeavingSign) bool {
	changed := false
	for _, s := range signs {
		if s.Age >= LeavingSignTTL {
			continue
		}
		changed = n.learn(heldSign{
			upstream: s.Upstream, boot: s.Boot, round: s.Round, born: now.Add(-max(s.Age, 0)),
		}) || changed
	}
	return changed
}

// learn takes a sign that is unknown or of a higher round. Ages only grow on their way and only a source
// makes a new round, so that instances can't keep a sign alive among themselves.
func (n *SharedState) learn(s heldSign) bool {
	i, found := slices.BinarySearchFunc(n.signs, s, heldSign.compare)
	if found {
		if s.round <= n.signs[i].round {
			return false
		}
		n.signs[i] = s
		return true
	}
	n.signs = slices.Insert(n.signs, i, s)
	if len(n.signs) > MaxLeavingSigns {
		n.dropOldest()
	}
	return true
}

func (n *SharedState) dropOldest() {
	oldest := 0
	for i, s := range n.signs {
		if s.born < n.signs[oldest].born {
			oldest = i
		}
	}
	n.signs = slices.Delete(n.signs, oldest, oldest+1)
}

// Expire drops the signs that have lived their time and tells whether there were any.
func (n *SharedState) ExpireSigns(now decide.Instant) bool {
	before := len(n.signs)
	n.signs = slices.DeleteFunc(n.signs, func(s heldSign) bool { return now.Sub(s.born) >= LeavingSignTTL })
	return len(n.signs) != before
}

// Signs gives the signs that live, with their ages.
func (n *SharedState) Signs(now decide.Instant) []LeavingSign {
	if len(n.signs) == 0 {
		return nil
	}
	out := make([]LeavingSign, 0, len(n.signs))
	for _, s := range n.signs {
		out = append(out, LeavingSign{Upstream: s.upstream, Boot: s.boot, Round: s.round, Age: now.Sub(s.born)})
	}
	return out
}

// Hash is over the signs but their ages; 0 without signs. Instances with equal hashes need not send each
// other their signs.
func (n *SharedState) SignsHash() uint64 {
	if len(n.signs) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, s := range n.signs {
		_, _ = d.WriteString(string(s.upstream))
		_, _ = d.WriteString("\x00" + s.boot + "\x00")
		_, _ = d.Write(binary.BigEndian.AppendUint32(nil, s.round))
	}
	return d.Sum64()
}

// Left tells whether the signs say that this boot of the upstream is leaving. An upstream whose boot is
// not known yet is held to any sign about it.
func IsLeaving(signs []LeavingSign, upstream fleet.UpstreamID, boot string) bool {
	return slices.ContainsFunc(signs, func(s LeavingSign) bool {
		return s.Upstream == upstream && (s.Boot == "" || boot == "" || s.Boot == boot)
	})
}
