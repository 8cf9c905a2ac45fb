package placement

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// The values that messages are drawn from: names that are known and others, and the edges of the number types.
var (
	peerStrings = []string{"", "u1", "u2", "svc", "plain", "entry-1", "entry-2", "r1", "r2", "a", "c", "u", "o", watch.KindMembers, "main", "\x00\u00e9", "10.0.0.1:80"}
	peerInts    = []int64{0, 1, -1, 7, 100, 40_000, math.MaxInt32, math.MinInt32, math.MaxInt32 + 1, math.MaxInt64, math.MinInt64, math.MaxInt64 / 1_000_000}
	peerUints   = []uint64{0, 1, 2, 10, 1 << 39, 1 << 40, math.MaxUint64, math.MaxUint64 - 1}
	peerFloats  = []float64{0, 1, -1, 0.5, 1e300, math.Inf(1), math.Inf(-1), math.NaN(), math.SmallestNonzeroFloat64}
	peerValues  = []string{"", "svc", "null", "{}", `{"peer_addr":"127.0.0.1:1","cpu_share":1e308,"failure_domain":"a"}`, "\x1f\x8b", "x"}
)

const (
	maxPeerElements = 3 // of a repeated field
	maxPeerDepth    = 4 // of messages in messages
)

// drawMessage fills a message with drawn values. Any field may be missing, as from an older build.
func drawMessage(t *rapid.T, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if (f.Kind() == protoreflect.MessageKind && depth == 0) || !rapid.Bool().Draw(t, "present") {
			continue
		}
		if !f.IsList() {
			m.Set(f, drawValue(t, m.NewField(f), f, depth))
			continue
		}
		list := m.Mutable(f).List()
		for range rapid.IntRange(0, maxPeerElements).Draw(t, "elements") {
			list.Append(drawValue(t, list.NewElement(), f, depth))
		}
	}
}

// drawValue draws a value of a field; empty is a new one of its type.
func drawValue(t *rapid.T, empty protoreflect.Value, f protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	name := string(f.Name())
	switch f.Kind() {
	case protoreflect.MessageKind:
		drawMessage(t, empty.Message(), depth-1)
		return empty
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom(peerStrings).Draw(t, name))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(rapid.SampledFrom(peerValues).Draw(t, name)))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(rapid.Bool().Draw(t, name))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(rapid.SampledFrom([]int32{0, 1, 2, 3, 4, 5, 99, -1}).Draw(t, name)))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(rapid.SampledFrom(peerInts).Draw(t, name)))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(rapid.SampledFrom(peerInts).Draw(t, name))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(rapid.SampledFrom(peerUints).Draw(t, name))
	case protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(rapid.SampledFrom(peerUints).Draw(t, name))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(rapid.SampledFrom(peerFloats).Draw(t, name))
	default:
		t.Fatalf("no values for %s of kind %s", f.FullName(), f.Kind())
		return empty
	}
}

// drawFromEntry draws a message of an instance.
func drawFromEntry(t *rapid.T) *pb.FromEntry {
	m := &pb.FromEntry{}
	drawMessage(t, m.ProtoReflect(), maxPeerDepth)
	return m
}

// overWire returns a message as its receiver decodes it.
func overWire[M proto.Message](t *rapid.T, m, out M) M {
	raw, err := proto.MarshalOptions{AllowPartial: true}.Marshal(m)
	if err != nil {
		t.Skip("not a message that can be sent: ", err)
	}
	if err := proto.Unmarshal(raw, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// knownState are full copies of a configuration, of upstreams and of members, as from the store.
func knownState() []watch.Change {
	one := func(kind, name, value string) wire.Object {
		return wire.Object{Kind: kind, Name: name, Version: 5, Value: []byte(value)}
	}
	return []watch.Change{
		{Kind: "c", Full: true, To: 5, Objects: []wire.Object{one("c", "main", "1")}},
		{Kind: "u", Full: true, To: 5, Objects: []wire.Object{
			one("u", "u1", "svc"), one("u", "u2", "svc"), one("u", "p1", "plain"),
		}},
		{Kind: watch.KindMembers, Full: true, To: 5, Objects: []wire.Object{
			one(watch.KindMembers, "entry-1", `{"peer_addr":"127.0.0.1:1","cpu_share":1,"failure_domain":"a"}`),
		}},
	}
}

// newPeerFollower returns a Follower without a store that holds knownState.
func newPeerFollower() *watch.Follower {
	f := watch.New(watch.Deps{
		Kinds: watch.Kinds{Config: "c", ConfigName: "main", Upstreams: "u", DomainsOut: "o"}, Decoder: peerDecoder{}, Log: hclog.NewNullLogger(),
	})
	for _, change := range knownState() {
		f.ApplyChange(change)
	}
	return f
}

// newPeerClient returns a client that knows a fleet, without goroutines of its own.
func newPeerClient() *Client {
	return NewClient("entry-1", "a", newPeerFollower(), hclog.NewNullLogger())
}

// Guards against an instance that ends because of a message of another one: of another build, out of order, twice, of
// an instance that isn't known, or with any value. No goroutine that applies messages recovers from a panic, and the
// same message may reach all instances.
func TestAnyMessagesLeaveDispatcherServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newPeerClient()
		sinks := map[fleet.InstanceID]*recordingSink{}
		for range rapid.IntRange(1, 5).Draw(t, "messages") {
			from := fleet.InstanceID(rapid.SampledFrom([]string{"entry-1", "entry-2", "entry-3", ""}).Draw(t, "from"))
			m := overWire(t, drawFromEntry(t), &pb.FromEntry{})
			s := sinks[from]
			if s == nil || rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				s = &recordingSink{}
				sinks[from] = s
				c.hub.applyChanges(m)
				c.hub.attach(from, s, m)
			} else {
				c.hub.applyChanges(m)
				c.hub.receive(from, s, m)
			}
			c.hub.mu.Lock()
			c.hub.start = c.hub.start.Add(-settleTime)
			now := c.hub.now()
			c.hub.refresh(now)
			c.hub.step(now)
			c.hub.chooseReaders()
			c.hub.mu.Unlock()
			c.hub.absentMembers(c.snapshot().Members, time.Second)
			_, _, _ = c.admit(from, m)
			_ = c.firstMessage()
		}
		for from, s := range sinks {
			c.hub.detach(from, s, causeConnEnded)
		}
		checkStillPlaces(t, c)
	})
}

// checkStillPlaces fails the test unless the dispatcher answers the request of an instance that attaches now.
func checkStillPlaces(t *rapid.T, c *Client) {
	s := &recordingSink{}
	c.hub.attach("entry-9", s, &pb.FromEntry{Entry: "entry-9", Domain: "a"})
	c.hub.mu.Lock()
	c.hub.start = c.hub.start.Add(-time.Minute) // no holdoff after a reported failure lasts as long
	c.hub.mu.Unlock()
	c.hub.receive("entry-9", s, &pb.FromEntry{Asks: []*pb.Ask{{Id: "good", Service: "plain", PatienceMs: 5000, DeadlineMs: 5000}}})
	c.hub.mu.Lock()
	now := c.hub.now()
	c.hub.refresh(now)
	c.hub.step(now)
	c.hub.mu.Unlock()
	for _, m := range s.sent {
		for _, p := range m.Places {
			if p.Id == "good" {
				return
			}
		}
	}
	snap := c.snapshot()
	if !slices.ContainsFunc(snap.Upstreams("plain"), snap.AcceptsWork) {
		return // the messages took the upstream away
	}
	t.Fatalf("a good request gets no place: %v", s.sent)
}

// Guards against an instance that ends because of a message of its dispatcher or relay, which reaches all instances.
func TestAnyMessagesLeaveInstanceServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newPeerClient()
		done := make(chan struct{})
		s := &session{peerID: "entry-2", send: func(*pb.FromEntry) {}, end: func() {}, done: done, openedAt: time.Now(), firstMessage: c.firstMessage()}
		c.switchSession(s)
		for range rapid.IntRange(1, 5).Draw(t, "messages") {
			m := &pb.ToEntry{}
			drawMessage(t, m.ProtoReflect(), maxPeerDepth)
			m = overWire(t, m, &pb.ToEntry{})
			id := fleet.RequestID(rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "request"))
			w := &waitingRequest{askedAt: time.Now(), reply: make(chan reply, 1)}
			w.ask.ID, w.ask.Service = id, "svc"
			c.mu.Lock()
			c.waiting[id] = w
			c.mu.Unlock()
			c.receiveFrom(s, m)
			select {
			case r := <-w.reply:
				if g, err := c.grantFromReply(context.Background(), w, r); err == nil {
					_, _, _ = g.Upstream(), g.Helpers(), g.AnswerTimeout()
					g.RecordFirstEvent()
					g.Release(0, "")
				}
			default:
				c.withdrawRequest(id)
			}
			_ = c.candidates()
			_ = c.follower.Role().String()
			_ = c.firstMessage()
			_ = c.changesSince(s.firstMessage)
		}
	})
}

// peerDecoder decodes entries whose value names a service, and any configuration as one with a service of engines and a
// plain one.
type peerDecoder struct{}

// Config implements watch.Decoder.
func (peerDecoder) Config(o wire.Object) (*catalog.Config, error) {
	engine := &catalog.Engine{Slots: 8, KVCacheTokens: 90_000, StepsPerPass: 4, StepMs: 10, PerDecodeMs: 0.1, PrefillTokensPerMs: 20, MsPerMillionPairs: 1, ChunkTokens: 512}
	return catalog.NewConfig(o.Version, o.Version, catalog.Limits{}, nil, []*catalog.Service{{Name: "svc", Engine: engine}, {Name: "plain"}}, nil)
}

// Upstream implements watch.Decoder.
func (peerDecoder) Upstream(o wire.Object, _ time.Time) (*catalog.Upstream, error) {
	service := catalog.ServiceName(o.Value)
	if service != "svc" && service != "plain" {
		return nil, fmt.Errorf("upstream %q: service %q is not known", o.Name, service)
	}
	return &catalog.Upstream{ID: fleet.UpstreamID(o.Name), Service: service, Addr: "10.0.0.1:80", Domain: "a", Slots: 8, Revision: o.Version}, nil
}
