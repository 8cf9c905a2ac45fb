package placement

import (
	"fmt"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// packFrom is the value's length in bytes from which it is sent packed: a configuration of many routes goes
// to every instance, and the links of small ones are narrow.
const packFrom = 2 << 10

func changeMessage(c watch.Change) (*pb.Change, error) {
	m := &pb.Change{Kind: c.Kind, Whole: c.Whole, From: c.From, To: c.To, Deleted: c.Deleted}
	for _, o := range c.Objects {
		sent := &pb.Object{Name: o.Name, Version: o.Version, Value: o.Value}
		if len(o.Value) >= packFrom {
			packed, err := peer.Pack(o.Value)
			if err != nil {
				return nil, fmt.Errorf("pack %s/%s: %w", c.Kind, o.Name, err)
			}
			sent.Value, sent.Packed = packed, true
		}
		m.Objects = append(m.Objects, sent)
	}
	return m, nil
}

func readChange(m *pb.Change) (watch.Change, error) {
	c := watch.Change{Kind: m.Kind, Whole: m.Whole, From: m.From, To: m.To, Deleted: m.Deleted}
	for _, o := range m.Objects {
		value := o.Value
		if o.Packed {
			raw, err := peer.Unpack(o.Value)
			if err != nil {
				return c, fmt.Errorf("%s/%s: %w", m.Kind, o.Name, err)
			}
			value = raw
		}
		c.Objects = append(c.Objects, wire.Object{Kind: m.Kind, Name: o.Name, Version: o.Version, Value: value})
	}
	return c, nil
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
func newer(f *watch.Follower, theirs []*pb.Proof) ([]*pb.Change, error) {
	var out []*pb.Change
	for _, m := range theirs {
		c, ok := f.Whole(m.Kind)
		if !ok || (m.Known && m.Revision >= c.To) {
			continue
		}
		sent, err := changeMessage(c)
		if err != nil {
			return out, err
		}
		out = append(out, sent)
	}
	return out, nil
}
