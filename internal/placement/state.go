package placement

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/packed"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// packThreshold is the length in bytes of a change's values from which they are sent packed. A configuration of
	// many routes, or a long list of upstreams, is sent to every instance, and small instances have narrow links.
	packThreshold = 2 << 10
	// diffThreshold is the length in bytes of a value from which its new version is sent as a difference.
	diffThreshold = 8 << 10
	// maxUnpacked bounds, in bytes, the unpacked objects of a change: some tens of thousands of entries.
	maxUnpacked = 64 << 20
)

// changeMessage returns the message of a change, with the full value of each object.
func changeMessage(c watch.Change) (*pb.Change, error) {
	messages := make([]*pb.Object, len(c.Objects))
	for i, o := range c.Objects {
		messages[i] = objectMessage(o)
	}
	return newChangeMessage(c, messages)
}

// newChangeMessage returns the message of a change with the given objects, which it packs if they are long.
func newChangeMessage(c watch.Change, messages []*pb.Object) (*pb.Change, error) {
	m := &pb.Change{
		Kind: c.Kind, Whole: c.Full, From: revision(c.From), FromEra: eraField(c.From), To: revision(c.To), ToEra: eraField(c.To),
		Deleted: c.Deleted, Lapsing: c.Lapsing, Objects: messages,
	}
	for _, span := range c.EmptySpans {
		m.Without = append(m.Without, &pb.Span{
			After: revision(span.After), AfterEra: eraField(span.After), Through: revision(span.Through), ThroughEra: eraField(span.Through),
		})
	}
	length := 0
	for _, o := range messages {
		length += len(o.Value)
	}
	if length < packThreshold {
		return m, nil
	}
	raw, err := proto.Marshal(&pb.Objects{Objects: m.Objects})
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", c.Kind, err)
	}
	if m.Packed, err = packed.Pack(raw, packed.Fast); err != nil {
		return nil, fmt.Errorf("pack %s: %w", c.Kind, err)
	}
	m.Objects = nil
	return m, nil
}

// sentObjects holds the long objects as last broadcast, by kind and name. A new version is sent as the difference
// from the last one: a configuration of a thousand routes, sent in full to hundreds of instances, fills the
// dispatcher's link for a third of a second, and places wait behind it. It is not safe for concurrent use.
type sentObjects map[string]wire.Object

// changeMessage encodes a change, with long objects as differences where these are short, and records the long
// objects as sent.
func (l sentObjects) changeMessage(c watch.Change) (*pb.Change, error) {
	messages := make([]*pb.Object, len(c.Objects))
	for i, o := range c.Objects {
		messages[i] = objectMessage(o)
		if len(o.Value) < diffThreshold {
			continue
		}
		key := c.Kind + "/" + o.Name
		base, known := l[key]
		l[key] = o
		if !known || c.Full {
			continue
		}
		difference, err := packed.Diff(base.Value, o.Value)
		if err != nil {
			return nil, fmt.Errorf("%s %q: %w", c.Kind, o.Name, err)
		}
		if len(difference) < len(o.Value)/2 && objects.Era(base.Version) == objects.Era(o.Version) {
			messages[i].Value, messages[i].Base = difference, revision(base.Version)
		}
	}
	return newChangeMessage(c, messages)
}

// errBaseMismatch reports an object that arrived as a difference from a version that isn't held here.
var errBaseMismatch = errors.New("comes as a difference from another version than the one here")

// Instances of builds without eras send and understand revisions alone. Messages therefore carry the era in fields of
// its own, and a version without one counts as one of the present era.

// eraField and revision are the parts of a version in messages. An era is sent plus one, as a field of 0 isn't sent.
func eraField(version uint64) uint64 { return objects.Era(version) + 1 }
func revision(version uint64) uint64 { return objects.Revision(version) }

// decodeVersion returns the version of a revision in an era, or in the present era if the sender states none.
func decodeVersion(eraField, revision, present uint64) uint64 {
	if eraField == 0 {
		return objects.NewVersion(present, revision)
	}
	return objects.NewVersion(eraField-1, revision)
}

// objectMessage returns the message of an object with its full value.
func objectMessage(o wire.Object) *pb.Object {
	return &pb.Object{Name: o.Name, Version: revision(o.Version), Era: eraField(o.Version), Value: o.Value}
}

// decodeChange decodes a change. lookup returns the object held here, for objects that arrive as differences, and
// present is the present era.
func decodeChange(m *pb.Change, lookup func(kind, name string) (wire.Object, bool), present uint64) (watch.Change, error) {
	c := watch.Change{
		Kind: m.Kind, Full: m.Whole, From: decodeVersion(m.FromEra, m.From, present), To: decodeVersion(m.ToEra, m.To, present),
		Deleted: m.Deleted, Lapsing: m.Lapsing,
	}
	for _, span := range m.Without {
		c.EmptySpans = append(c.EmptySpans, watch.Span{
			After: decodeVersion(span.AfterEra, span.After, present), Through: decodeVersion(span.ThroughEra, span.Through, present),
		})
	}
	all := m.Objects
	if len(m.Packed) > 0 {
		raw, err := packed.Unpack(m.Packed, maxUnpacked)
		if err != nil {
			return c, fmt.Errorf("unpack %s: %w", m.Kind, err)
		}
		var unpacked pb.Objects
		if err := proto.Unmarshal(raw, &unpacked); err != nil {
			return c, fmt.Errorf("decode %s: %w", m.Kind, err)
		}
		all = unpacked.Objects
	}
	for _, o := range all {
		decoded := wire.Object{Kind: m.Kind, Name: o.Name, Version: decodeVersion(o.Era, o.Version, present)}
		base := decodeVersion(o.Era, o.Base, present)
		var err error
		if decoded.Value, err = decodeValue(decoded, o, base, lookup); err != nil {
			return c, fmt.Errorf("%s %q: %w", m.Kind, o.Name, err)
		}
		c.Objects = append(c.Objects, decoded)
	}
	return c, nil
}

// decodeValue returns the value of an object that arrived as the message m. If m holds a difference, it computes the value
// from the object held here.
func decodeValue(o wire.Object, m *pb.Object, base uint64, lookup func(kind, name string) (wire.Object, bool)) ([]byte, error) {
	if m.Base == 0 {
		return m.Value, nil
	}
	held, ok := lookup(o.Kind, o.Name)
	switch {
	case ok && held.Version == o.Version:
		return held.Value, nil // this version already arrived by another path
	case !ok || held.Version != base:
		return nil, fmt.Errorf("%w: base %s, held %s", errBaseMismatch, objects.FormatVersion(base), objects.FormatVersion(held.Version))
	}
	return packed.Patch(held.Value, m.Value, maxUnpacked)
}

// fullCopyCache keeps the last full-copy message of each kind, so that many instances that attach at one time are
// sent the same bytes. It is safe for concurrent use.
type fullCopyCache struct {
	mu   sync.Mutex
	last map[string]fullCopyMessage // guarded by mu: by kind
}

// fullCopyMessage is the message of the full copy with that version and serial.
type fullCopyMessage struct {
	from, serial uint64
	message      *pb.Change
}

// newFullCopyCache returns an empty cache.
func newFullCopyCache() *fullCopyCache { return &fullCopyCache{last: map[string]fullCopyMessage{}} }

// message returns the message of a full copy.
func (w *fullCopyCache) message(c watch.Change) (*pb.Change, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if last := w.last[c.Kind]; last.message != nil && last.from == c.From && last.serial == c.Serial {
		return last.message, nil
	}
	m, err := changeMessage(c)
	if err == nil {
		w.last[c.Kind] = fullCopyMessage{c.From, c.Serial, m}
	}
	return m, err
}

// proofMessages returns the messages for proofs.
func proofMessages(all []watch.Proof) []*pb.Proof {
	out := make([]*pb.Proof, len(all))
	for i, p := range all {
		out[i] = &pb.Proof{
			Kind: p.Kind, Known: p.Known, Era: eraField(p.Revision), Revision: revision(p.Revision), Latest: revision(p.LastChange),
			AgeMs: p.Age.Milliseconds(), FailingMs: p.FailingFor.Milliseconds(),
		}
	}
	return out
}

// decodeProof converts the message of a proof; present is the present era.
func decodeProof(m *pb.Proof, present uint64) watch.Proof {
	return watch.Proof{
		Kind: m.Kind, Known: m.Known, Revision: decodeVersion(m.Era, m.Revision, present), LastChange: decodeVersion(m.Era, m.Latest, present),
		Age: ms(m.AgeMs), FailingFor: ms(m.FailingMs),
	}
}

// hasAllKinds reports whether every kind that another instance knows is known here. Members don't count: an instance
// that has just started lists them anew for half a second, and a dispatcher doesn't need them.
func hasAllKinds(own []watch.Proof, theirs []*pb.Proof) bool {
	known := map[string]bool{}
	for _, p := range own {
		known[p.Kind] = p.Known
	}
	return !slices.ContainsFunc(theirs, func(p *pb.Proof) bool {
		return p.Known && p.Kind != watch.KindMembers && !known[p.Kind]
	})
}

// applyState applies the changes and proofs that another instance sends. It returns the kinds that are needed in
// full.
func applyState(f *watch.Follower, changes []*pb.Change, proofs []*pb.Proof) (needed []string, err error) {
	for _, m := range changes {
		c, e := decodeChange(m, f.Object, f.Era())
		if e != nil {
			if !errors.Is(e, errBaseMismatch) { // a full copy is requested
				err = e
			}
			needed = append(needed, m.Kind)
			continue
		}
		if f.ApplyChange(c) {
			needed = append(needed, m.Kind)
		}
	}
	for _, m := range proofs {
		if f.ApplyProof(decodeProof(m, f.Era())) {
			needed = append(needed, m.Kind)
		}
	}
	return needed, err
}

// newerCopies returns full copies of the kinds of which the sender of the proofs lacks changes.
func newerCopies(f *watch.Follower, sent *fullCopyCache, theirs []*pb.Proof) ([]*pb.Change, error) {
	var out []*pb.Change
	for _, proof := range theirs {
		c, ok := f.FullCopy(proof.Kind)
		if !ok || (proof.Known && decodeVersion(proof.Era, proof.Revision, f.Era()) >= c.From) {
			continue
		}
		m, err := sent.message(c)
		if err != nil {
			return out, err
		}
		out = append(out, m)
	}
	return out, nil
}
