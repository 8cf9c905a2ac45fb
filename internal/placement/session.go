package placement

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

const (
	// connectTimeout bounds connecting to a dispatcher: some trips between the farthest failure domains. One without
	// power doesn't refuse, and whoever waits for it has no dispatcher meanwhile: after a stop of all instances those
	// that are up first would place by their own view, each beside the others, until the last is up.
	connectTimeout = 80 * time.Millisecond
	// attachTimeout bounds the whole of it, with the first message and its answer.
	attachTimeout = 250 * time.Millisecond
	// silence is how long either side of a session may be quiet before the other gives it up: three beats.
	silence = 3 * beat
	// maxOutbox bounds what waits to be sent to one instance; one that takes nothing is cut off.
	maxOutbox = 4096
)

// outbox is a queue of messages that one goroutine sends. Putting something in never blocks.
type outbox[T any] struct {
	mu     sync.Mutex
	items  []T           // guarded by mu
	ready  chan struct{} // holds a token while there are items
	closed bool          // guarded by mu
}

func newOutbox[T any]() *outbox[T] { return &outbox[T]{ready: make(chan struct{}, 1)} }

// put queues an item, and tells whether it was taken.
func (o *outbox[T]) put(item T) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.items) >= maxOutbox {
		return false
	}
	o.items = append(o.items, item)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return true
}

// take gives all items; it waits for the first until ctx ends.
func (o *outbox[T]) take(ctx context.Context) []T {
	for {
		select {
		case <-o.ready:
		case <-ctx.Done():
			return nil
		}
		o.mu.Lock()
		items := o.items
		o.items = nil
		o.mu.Unlock()
		if len(items) > 0 {
			return items
		}
	}
}

func (o *outbox[T]) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// service is the other side of sessions: that of the dispatcher, or of an instance that passes on.
type service struct{ c *Client }

// remoteSink sends to an instance over its stream.
type remoteSink struct {
	out *outbox[*pb.ToEntry]
	cut func()
}

// send queues m. An instance that takes nothing any more is cut off: it must not believe that it is told
// everything.
func (s *remoteSink) send(m *pb.ToEntry) {
	if !s.out.put(m) {
		s.cut()
	}
}

// entryStream is the dispatcher's side of a session. An instance says with each beat that it lives; one that lost power or was
// cut off says nothing, and its connection may never end. Its reads would stay in the dispatcher's book, and their
// engines get no short prompts for as long as the dispatcher lives.
type entryStream struct {
	pb.DRPCPlacement_AttachStream
	quiet *time.Timer // gives the session up
}

// Recv implements placementpb.DRPCPlacement_AttachStream.
func (s entryStream) Recv() (*pb.FromEntry, error) {
	m, err := s.DRPCPlacement_AttachStream.Recv()
	s.quiet.Reset(silence)
	return m, err
}

// Attach implements placementpb.DRPCPlacementServer.
func (s service) Attach(raw pb.DRPCPlacement_AttachStream) error {
	first, err := raw.Recv()
	if err != nil {
		return err
	}
	if first.Invitation != nil {
		s.c.invited(first.Invitation)
		return raw.Send(&pb.ToEntry{}) // shows that it was taken
	}
	if len(s.c.candidates()) == 0 {
		s.c.follower.ListNow()
	}
	entry := fleet.InstanceID(first.Entry)
	ctx, cancel := context.WithCancel(raw.Context())
	defer cancel()
	stream := entryStream{raw, time.AfterFunc(silence, cancel)}
	defer stream.quiet.Stop()
	to := &remoteSink{out: newOutbox[*pb.ToEntry](), cut: cancel}
	go func() {
		defer func() { _ = stream.Close() }()
		for items := to.out.take(ctx); items != nil; items = to.out.take(ctx) {
			if err := stream.Send(merge(items)); err != nil {
				cancel()
				return
			}
		}
	}()
	through, err := s.c.admit(entry, first)
	if err != nil {
		return err
	}
	to.send(&pb.ToEntry{}) // shows the instance that it is attached
	defer to.out.close()
	if through != nil {
		return s.c.pass(stream, entry, to, through, first)
	}
	h := s.c.hub
	h.hear(first)
	h.attach(entry, to, first)
	defer h.detach(entry, to)
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		h.hear(m)
		h.tell(entry, to, m)
	}
}

// merge makes one message of several. Of a kind's whole copies the last one is enough.
func merge(items []*pb.ToEntry) *pb.ToEntry {
	if len(items) == 1 {
		return items[0]
	}
	all := &pb.ToEntry{}
	for _, m := range items {
		all.Places = append(all.Places, m.Places...)
		all.Refusals = append(all.Refusals, m.Refusals...)
		all.Changes = append(all.Changes, m.Changes...)
		all.Back = append(all.Back, m.Back...)
		all.Proofs = append(all.Proofs, m.Proofs...)
		all.Limits = append(all.Limits, m.Limits...)
		all.Departures = append(all.Departures, m.Departures...)
		if m.Duty != pb.ToEntry_AS_BEFORE {
			all.Duty = m.Duty
		}
	}
	return all
}

// session is an instance's side of its session with a dispatcher.
type session struct {
	with  fleet.InstanceID
	first *pb.FromEntry       // what the dispatcher was told with it
	tell  func(*pb.FromEntry) // never blocks
	end   func()
	done  <-chan struct{} // closed when the session is over

	opened     time.Time
	handedOver atomic.Bool  // the other side ended the session in order: it has another dispatcher now
	silent     atomic.Bool  // the session was given up because nothing was heard
	heard      atomic.Int64 // when bytes came last, in ns since opened; 0: none came yet
	duty       atomic.Int32 // the last pb.ToEntry_Duty that was told
}

// fresh tells whether the dispatcher was heard of so lately that it lives.
func (s *session) fresh() bool { return s.quiet() < beat+beat/2 }

// hears takes that bytes came from the dispatcher. A long copy for hundreds of instances fills its link for longer than
// a silence may last, and beats wait behind it: whoever gets a part of it is not cut off.
func (s *session) hears() { s.heard.Store(int64(time.Since(s.opened))) }

// quiet is for how long nothing was heard.
func (s *session) quiet() time.Duration { return time.Since(s.opened) - time.Duration(s.heard.Load()) }

// endSilent ends the session once nothing was heard for too long: first within limit, then within each silence. That is
// the only sign of a connection that something between the ends has lost track of.
func (s *session) endSilent(limit time.Duration, stop func()) {
	time.AfterFunc(limit, func() {
		left := silence - s.quiet()
		switch {
		case s.over():
		case s.heard.Load() > 0 && left > 0:
			s.endSilent(left, stop)
		default:
			s.silent.Store(true)
			stop()
		}
	})
}

func (s *session) over() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// dialSession attaches to another instance; first is sent first.
func (c *Client) dialSession(ctx context.Context, to *catalog.Member, first func() *pb.FromEntry) (*session, error) {
	dialing, cancelDial := context.WithTimeout(ctx, connectTimeout)
	defer cancelDial()
	opened := &session{with: to.ID, opened: time.Now()}
	conn, err := peer.DialHeard(dialing, to.Addr, opened.hears)
	if err != nil {
		return nil, err
	}
	life, cancel := context.WithCancel(ctx)
	stop := func() {
		cancel()
		_ = conn.Close()
	}
	stream, err := pb.NewDRPCPlacementClient(conn).Attach(life)
	if err != nil {
		stop()
		return nil, err
	}
	opened.end, opened.done = stop, life.Done()
	opened.endSilent(attachTimeout, stop)
	opened.first = first()
	if err := stream.Send(opened.first); err != nil {
		stop()
		return nil, err
	}
	m, err := stream.Recv()
	if err != nil {
		stop()
		return nil, err
	}
	out := newOutbox[*pb.FromEntry]()
	opened.tell = func(m *pb.FromEntry) {
		if !out.put(m) {
			stop()
		}
	}
	go c.sayAlive(life, opened)
	go func() {
		defer stop()
		for ; err == nil; m, err = stream.Recv() {
			c.gotOver(opened, m)
		}
		opened.handedOver.Store(errors.Is(err, io.EOF))
	}()
	go func() {
		defer stop()
		for items := out.take(life); items != nil; items = out.take(life) {
			if err := stream.Send(mergeFrom(items)); err != nil {
				return
			}
		}
	}()
	return opened, nil
}

// mergeFrom makes one message of several. An ask may follow the end of the same request's last use, and the
// parts of a message take effect in the order of its fields, so that the order is kept.
func mergeFrom(items []*pb.FromEntry) *pb.FromEntry {
	all := items[0]
	for _, m := range items[1:] {
		all.Running = append(all.Running, m.Running...)
		all.Began = append(all.Began, m.Began...)
		all.Ended = append(all.Ended, m.Ended...)
		all.Withdrawn = append(all.Withdrawn, m.Withdrawn...)
		all.Asks = append(all.Asks, m.Asks...)
		all.Changes = append(all.Changes, m.Changes...)
		all.Proofs = append(all.Proofs, m.Proofs...)
		all.Passed = append(all.Passed, m.Passed...)
		all.Limits = append(all.Limits, m.Limits...)
		all.Departures = append(all.Departures, m.Departures...)
		if len(m.Reads) > 0 {
			all.Reads = m.Reads
		}
	}
	return all
}
