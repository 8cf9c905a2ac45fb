package placement

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/packed"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

const (
	// packFrom is the length in bytes of a change's values from which they are sent packed: a configuration of
	// many routes, or a long list of upstreams, goes to every instance, and the links of small ones are narrow.
	packFrom = 2 << 10
	// differFrom is the length in bytes of a value from which its new version is sent as a difference.
	differFrom = 8 << 10
	// maxUnpacked bounds what a change may unpack to: some tens of thousands of entries.
	maxUnpacked = 64 << 20
)

func changeMessage(c watch.Change) (*pb.Change, error) {
	objects := make([]*pb.Object, len(c.Objects))
	for i, o := range c.Objects {
		objects[i] = &pb.Object{Name: o.Name, Version: o.Version, Value: o.Value}
	}
	return messageOf(c, objects)
}

// messageOf gives a change's message with objects as they are sent.
func messageOf(c watch.Change, objects []*pb.Object) (*pb.Change, error) {
	m := &pb.Change{Kind: c.Kind, Whole: c.Whole, From: c.From, To: c.To, Deleted: c.Deleted, Lapsing: c.Lapsing, Objects: objects}
	for _, span := range c.Without {
		m.Without = append(m.Without, &pb.Span{After: span.After, Through: span.Through})
	}
	length := 0
	for _, o := range objects {
		length += len(o.Value)
	}
	if length < packFrom {
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

// lastSent are the long objects as they were told to all last, by kind and name. A new version goes out as the difference
// from that: a configuration of a thousand routes, told whole to hundreds of instances, fills the dispatcher's link for a
// third of a second, and places wait behind it. It is not safe for concurrent use.
type lastSent map[string]wire.Object

// changeMessage gives a change's message, and takes it as sent.
func (l lastSent) changeMessage(c watch.Change) (*pb.Change, error) {
	objects := make([]*pb.Object, len(c.Objects))
	for i, o := range c.Objects {
		objects[i] = &pb.Object{Name: o.Name, Version: o.Version, Value: o.Value}
		if len(o.Value) < differFrom {
			continue
		}
		key := c.Kind + "/" + o.Name
		base, known := l[key]
		l[key] = o
		if !known || c.Whole {
			continue
		}
		difference, err := packed.Difference(base.Value, o.Value)
		if err != nil {
			return nil, fmt.Errorf("%s %q: %w", c.Kind, o.Name, err)
		}
		if len(difference) < len(o.Value)/2 {
			objects[i].Value, objects[i].Base = difference, base.Version
		}
	}
	return messageOf(c, objects)
}

// errOtherBase: an object came as a difference from a version that isn't held here.
var errOtherBase = errors.New("comes as a difference from another version than the one here")

// readChange reads a change; held gives what the copy here holds, for objects that come as differences.
func readChange(m *pb.Change, held func(kind, name string) (wire.Object, bool)) (watch.Change, error) {
	c := watch.Change{Kind: m.Kind, Whole: m.Whole, From: m.From, To: m.To, Deleted: m.Deleted, Lapsing: m.Lapsing}
	for _, span := range m.Without {
		c.Without = append(c.Without, watch.Span{After: span.After, Through: span.Through})
	}
	all := m.Objects
	if len(m.Packed) > 0 {
		raw, err := packed.Unpack(m.Packed, maxUnpacked)
		if err != nil {
			return c, fmt.Errorf("unpack %s: %w", m.Kind, err)
		}
		var objects pb.Objects
		if err := proto.Unmarshal(raw, &objects); err != nil {
			return c, fmt.Errorf("decode %s: %w", m.Kind, err)
		}
		all = objects.Objects
	}
	for _, o := range all {
		value, err := valueOf(m.Kind, o, held)
		if err != nil {
			return c, fmt.Errorf("%s %q: %w", m.Kind, o.Name, err)
		}
		c.Objects = append(c.Objects, wire.Object{Kind: m.Kind, Name: o.Name, Version: o.Version, Value: value})
	}
	return c, nil
}

// valueOf gives an object's value, from the one held here where it came as a difference.
func valueOf(kind string, o *pb.Object, held func(kind, name string) (wire.Object, bool)) ([]byte, error) {
	if o.Base == 0 {
		return o.Value, nil
	}
	base, ok := held(kind, o.Name)
	switch {
	case ok && base.Version == o.Version:
		return base.Value, nil // it came on another way
	case !ok || base.Version != o.Base:
		return nil, fmt.Errorf("%w: %d, and %d is held", errOtherBase, o.Base, base.Version)
	}
	return packed.Patch(base.Value, o.Value, maxUnpacked)
}

// wholes keeps the last message of each kind's whole copy: many instances that attach at one time are sent
// the same bytes. It is not safe for concurrent use.
type wholes map[string]*pb.Change

// of gives the message of a whole copy.
func (w wholes) of(c watch.Change) (*pb.Change, error) {
	if m := w[c.Kind]; m != nil && m.From == c.From {
		return m, nil
	}
	m, err := changeMessage(c)
	if err == nil {
		w[c.Kind] = m
	}
	return m, err
}

func proofMessages(all []watch.Proof) []*pb.Proof {
	out := make([]*pb.Proof, len(all))
	for i, p := range all {
		out[i] = &pb.Proof{
			Kind: p.Kind, Known: p.Known, Revision: p.Revision, Latest: p.Latest,
			AgeMs: p.Age.Milliseconds(), FailingMs: p.Failing.Milliseconds(),
		}
	}
	return out
}

func readProof(m *pb.Proof) watch.Proof {
	return watch.Proof{
		Kind: m.Kind, Known: m.Known, Revision: m.Revision, Latest: m.Latest, Age: ms(m.AgeMs), Failing: ms(m.FailingMs),
	}
}

// knowsAll tells whether every kind that another instance's copies hold is known here. Members don't count: an
// instance that has just started lists them anew for half a second, and a dispatcher needs them for nothing.
func knowsAll(own []watch.Proof, theirs []*pb.Proof) bool {
	known := map[string]bool{}
	for _, p := range own {
		known[p.Kind] = p.Known
	}
	return !slices.ContainsFunc(theirs, func(p *pb.Proof) bool {
		return p.Known && p.Kind != watch.KindMembers && !known[p.Kind]
	})
}

// takeState takes what another instance tells of its copies, and gives the kinds that are needed whole.
func takeState(f *watch.Follower, changes []*pb.Change, proofs []*pb.Proof) (needed []string, err error) {
	for _, m := range changes {
		c, e := readChange(m, f.Object)
		if e != nil {
			if !errors.Is(e, errOtherBase) { // it is asked for whole
				err = e
			}
			needed = append(needed, m.Kind)
			continue
		}
		if f.Offer(c) {
			needed = append(needed, m.Kind)
		}
	}
	for _, m := range proofs {
		if f.Prove(readProof(m)) {
			needed = append(needed, m.Kind)
		}
	}
	return needed, err
}

// newer gives all of the kinds of which the sender of the proofs lacks something.
func newer(f *watch.Follower, sent wholes, theirs []*pb.Proof) ([]*pb.Change, error) {
	var out []*pb.Change
	for _, theirs := range theirs {
		c, ok := f.Whole(theirs.Kind)
		if !ok || (theirs.Known && theirs.Revision >= c.From) {
			continue
		}
		m, err := sent.of(c)
		if err != nil {
			return out, err
		}
		out = append(out, m)
	}
	return out, nil
}
