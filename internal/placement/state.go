package placement

import (
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
	// maxUnpacked bounds what a change may unpack to: some tens of thousands of entries.
	maxUnpacked = 64 << 20
)

func changeMessage(c watch.Change) (*pb.Change, error) {
	m := &pb.Change{Kind: c.Kind, Whole: c.Whole, From: c.From, To: c.To, Deleted: c.Deleted}
	length := 0
	for _, o := range c.Objects {
		m.Objects = append(m.Objects, &pb.Object{Name: o.Name, Version: o.Version, Value: o.Value})
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

func readChange(m *pb.Change) (watch.Change, error) {
	c := watch.Change{Kind: m.Kind, Whole: m.Whole, From: m.From, To: m.To, Deleted: m.Deleted}
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
		c.Objects = append(c.Objects, wire.Object{Kind: m.Kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return c, nil
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
		c, e := readChange(m)
		if e != nil {
			err = e
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
