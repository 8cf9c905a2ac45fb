package placement

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
	"github.com/damaskshelf/damaskshelf/internal/silence"
)

const (
	// connectTimeout bounds the time to connect to a dispatcher. It allows some round trips between the farthest failure
	// domains, and is below sessionWait. A machine without power doesn't refuse connections, and an instance that waits
	// for it has no dispatcher meanwhile. With a long timeout, after a stop of all instances, those that start first
	// would place by their own views, each without knowing the others' work, until the last has started.
	connectTimeout = 80 * time.Millisecond
	// attachTimeout bounds the time to attach, in which the first message is sent and its answer arrives.
	attachTimeout = 250 * time.Millisecond
	// sessionTimeout is how long either side of a session may send nothing before the other ends it: three
	// heartbeats.
	sessionTimeout = checksPerSilence * heartbeatInterval
	// checksPerSilence is how often either side checks in that time whether it is running itself.
	checksPerSilence = 3
	// maxOutbox bounds the messages that wait to be sent to one instance; an instance that doesn't receive them is
	// disconnected.
	maxOutbox = 4096
)

// outbox is a queue of messages that one goroutine sends. Adding a message never blocks.
type outbox[T any] struct {
	mu     sync.Mutex
	items  []T           // guarded by mu
	ready  chan struct{} // holds a token while there are items
	closed bool          // guarded by mu
}

// newOutbox returns an empty outbox.
func newOutbox[T any]() *outbox[T] { return &outbox[T]{ready: make(chan struct{}, 1)} }

// put queues an item, and reports whether it was accepted.
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

// takeAll returns all items. It waits for the first one, and returns nil if ctx ends before.
func (o *outbox[T]) takeAll(ctx context.Context) []T {
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

// close makes put reject all further items.
func (o *outbox[T]) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// rpcServer serves the sessions of other instances, as the dispatcher or as a relay.
type rpcServer struct{ c *Client }

// remoteSink sends to an instance over its stream.
type remoteSink struct {
	out        *outbox[*pb.ToEntry]
	disconnect func()
}

// send queues m. If the queue is full, it disconnects the instance, which must not miss a message without noticing.
func (s *remoteSink) send(m *pb.ToEntry) {
	if !s.out.put(m) {
		s.disconnect()
	}
}

// timeoutStream is the dispatcher's side of a session, which ends if nothing arrives within sessionTimeout. Instances
// send heartbeats, but an instance that lost power or is partitioned sends nothing, and its connection may never close.
// Without the timeout, its prefill work would stay in the dispatcher's records, and the engines involved would get no
// short prompts for as long as the dispatcher runs.
type timeoutStream struct {
	pb.DRPCPlacement_AttachStream
	timer    *silence.Timer // ends the session
	timedOut *atomic.Bool   // set when timer has ended the session
}

// Causes of the end of an instance's session, for the log. Others are errors of the connection.
const (
	causeTimedOut  = "timed out"                    // nothing arrived
	causeInOrder   = "closed in order"              // by the instance
	causeConnEnded = "connection ended"             // by a close or a reset, as of a process that has ended
	causeReplaced  = "attached elsewhere"           // this instance has another dispatcher
	causeAtRelay   = "session with its relay ended" // the relay's log has its cause
	causeRelayLost = "session with the relay ended" // of a relayed instance
)

// newTimeoutStream returns the stream of a session that end ends. It waits for the other side only within Recv: while a message is
// processed, which may take longer than sessionTimeout, the next ones lie unread.
func newTimeoutStream(raw pb.DRPCPlacement_AttachStream, end func()) timeoutStream {
	s := timeoutStream{DRPCPlacement_AttachStream: raw, timedOut: &atomic.Bool{}}
	s.timer = silence.AfterFunc(sessionTimeout, sessionTimeout, checksPerSilence, func() {
		s.timedOut.Store(true)
		end()
	})
	s.timer.Listen(false)
	return s
}

// endCause returns why the session has ended, for the log. err is the result of receiving.
func (s timeoutStream) endCause(err error) string {
	switch {
	case s.timedOut.Load():
		return causeTimedOut
	case errors.Is(err, io.EOF):
		return causeInOrder
	default:
		return connCause(err)
	}
}

// connCause returns the cause of the end of a connection, for the log. drpc reports either the connection's own error or
// that the stream's context was canceled, which says less.
func connCause(err error) string {
	if errors.Is(err, context.Canceled) {
		return causeConnEnded
	}
	return fmt.Sprintf("%s: %v", causeConnEnded, err)
}

// Recv implements placementpb.DRPCPlacement_AttachStream.
func (s timeoutStream) Recv() (*pb.FromEntry, error) {
	s.timer.Arrived()
	s.timer.Listen(true)
	defer s.timer.Listen(false)
	return s.DRPCPlacement_AttachStream.Recv()
}

// Attach implements placementpb.DRPCPlacementServer. It accepts an invitation, or serves a session until it ends.
func (s rpcServer) Attach(raw pb.DRPCPlacement_AttachStream) error {
	defer crash.Report("session of another instance")
	first, err := raw.Recv()
	if err != nil {
		return err
	}
	if first.Invitation != nil {
		s.c.acceptInvitation(first.Invitation)
		return raw.Send(&pb.ToEntry{}) // confirms receipt
	}
	if first.ViaRelay {
		s.c.awaitSession(raw.Context())
	} else if len(s.c.dispatcherOrder()) == 0 {
		s.c.follower.ListMembersNow()
	}
	instance := fleet.InstanceID(first.Entry)
	ctx, cancel := context.WithCancel(raw.Context())
	defer cancel()
	stream := newTimeoutStream(raw, cancel)
	defer stream.timer.Stop()
	to := &remoteSink{out: newOutbox[*pb.ToEntry](), disconnect: cancel}
	go func() {
		defer crash.Report("session of another instance, sending")
		defer func() { _ = stream.Close() }()
		for items := to.out.takeAll(ctx); items != nil; items = to.out.takeAll(ctx) {
			if err := stream.Send(mergeToEntry(items)); err != nil {
				cancel()
				return
			}
		}
	}()
	via, demoted, err := s.c.admit(instance, first)
	if err != nil {
		return err
	}
	to.send(&pb.ToEntry{}) // confirms that the instance is attached
	defer to.out.close()
	if via != nil {
		return s.c.relay(stream, instance, to, via, first)
	}
	s.c.hub.applyChanges(first)
	s.c.hub.attach(instance, to, first)
	cause := causeReplaced
	defer func() { s.c.hub.detach(instance, to, cause) }()
	streamErr := make(chan error, 1)
	go func() { streamErr <- s.c.dispatchFor(stream, instance, to) }()
	select {
	case <-demoted:
		_ = stream.Close() // in order, so that the instance attaches again
		<-streamErr        // a message that is processed after the detach would leave its relayed instances attached
		return nil
	case err := <-streamErr:
		cause = stream.endCause(err)
		return err
	}
}

// dispatchFor processes an attached instance's messages as its dispatcher until the session ends.
func (c *Client) dispatchFor(stream pb.DRPCPlacement_AttachStream, instance fleet.InstanceID, to sink) error {
	defer crash.Report("session of another instance, receiving")
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		c.hub.applyChanges(m)
		c.hub.receive(instance, to, m)
	}
}

// mergeToEntry merges several messages into one, in their order. Of several duties, the last one is kept.
func mergeToEntry(items []*pb.ToEntry) *pb.ToEntry {
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
		all.HeldBack = append(all.HeldBack, m.HeldBack...)
		if m.Duty != pb.ToEntry_AS_BEFORE {
			all.Duty = m.Duty
		}
	}
	return all
}

// session is an instance's side of its session with a dispatcher or a relay.
type session struct {
	peerID       fleet.InstanceID
	firstMessage *pb.FromEntry       // as sent
	send         func(*pb.FromEntry) // never blocks
	end          func()              // ends the session
	done         <-chan struct{}     // closed when the session has ended

	openedAt     time.Time
	handedOver   atomic.Bool                   // the other side closed the session in order: it has another dispatcher now
	timedOut     atomic.Bool                   // the session ended because nothing arrived in time
	lastReceived atomic.Int64                  // when bytes last arrived, in ns since openedAt; 0: none yet
	duty         atomic.Int32                  // the last pb.ToEntry_Duty that arrived
	timeout      atomic.Pointer[silence.Timer] // nil: not started

	receiveErr atomic.Pointer[error] // that ended the session; nil: another cause
}

// endCause returns why the session has ended, for the log.
func (s *session) endCause() string {
	if err := s.receiveErr.Load(); err != nil {
		return connCause(*err)
	}
	return "ended by this instance"
}

// isLive reports whether bytes arrived recently enough that the dispatcher counts as alive.
func (s *session) isLive() bool { return s.idleTime() < heartbeatInterval+heartbeatInterval/2 }

// recordReceived records that bytes arrived. Those of an incomplete message count as well: a long copy for hundreds
// of instances fills the dispatcher's link for longer than sessionTimeout, and heartbeats wait behind it.
func (s *session) recordReceived() {
	s.lastReceived.Store(int64(time.Since(s.openedAt)))
	if t := s.timeout.Load(); t != nil {
		t.Arrived()
	}
}

// idleTime returns how long ago bytes last arrived.
func (s *session) idleTime() time.Duration {
	return time.Since(s.openedAt) - time.Duration(s.lastReceived.Load())
}

// endOnTimeout calls stop to end the session if nothing arrives within limit, and later if nothing arrives for
// sessionTimeout. Only a timeout reveals a connection whose state was lost between the two ends. It counts time in which this
// instance runs: if the whole fleet were paused, all sessions would end when it goes on, and every instance would place by
// its own view.
func (s *session) endOnTimeout(limit time.Duration, stop func()) {
	s.timeout.Store(silence.AfterFunc(limit, sessionTimeout, checksPerSilence, func() {
		if !s.isDone() {
			s.timedOut.Store(true)
			stop()
		}
	}))
}

// isDone reports whether the session has ended.
func (s *session) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// dialSession attaches to another instance, and sends the result of firstMessage first.
func (c *Client) dialSession(ctx context.Context, member *catalog.Member, firstMessage func() *pb.FromEntry) (*session, error) {
	dialCtx, cancelDial := context.WithTimeout(ctx, connectTimeout)
	defer cancelDial()
	s := &session{peerID: member.ID, openedAt: time.Now()}
	conn, err := peer.DialWithReadHook(dialCtx, member.Addr, s.recordReceived)
	if err != nil {
		return nil, err
	}
	sessionCtx, cancel := context.WithCancel(ctx)
	stop := func() {
		cancel()
		_ = conn.Close()
	}
	stream, err := pb.NewDRPCPlacementClient(conn).Attach(sessionCtx)
	if err != nil {
		stop()
		return nil, err
	}
	s.end, s.done = stop, sessionCtx.Done()
	s.endOnTimeout(attachTimeout, stop)
	s.firstMessage = firstMessage()
	if err := stream.Send(s.firstMessage); err != nil {
		stop()
		return nil, err
	}
	m, err := stream.Recv()
	if err != nil {
		stop()
		return nil, err
	}
	out := newOutbox[*pb.FromEntry]()
	s.send = func(m *pb.FromEntry) {
		if !out.put(m) {
			stop()
		}
	}
	go c.sendHeartbeats(sessionCtx, s)
	go func() {
		defer crash.Report("session with dispatcher, receiving")
		defer stop()
		for ; err == nil; m, err = stream.Recv() {
			c.receiveFrom(s, m)
		}
		s.handedOver.Store(errors.Is(err, io.EOF))
		s.receiveErr.Store(&err)
	}()
	go func() {
		defer crash.Report("session with dispatcher, sending")
		defer stop()
		for items := out.takeAll(sessionCtx); items != nil; items = out.takeAll(sessionCtx) {
			if err := stream.Send(mergeFromEntry(items)); err != nil {
				return
			}
		}
	}()
	return s, nil
}

// mergeFromEntry merges several messages into one. A placement request may follow the end of the same request's last
// use of a place. Merging keeps that order, because the parts of a message take effect in the order of its fields.
func mergeFromEntry(items []*pb.FromEntry) *pb.FromEntry {
	all := items[0]
	for _, m := range items[1:] {
		all.Running = append(all.Running, m.Running...)
		all.Indirect = append(all.Indirect, m.Indirect...)
		all.Began = append(all.Began, m.Began...)
		all.Ended = append(all.Ended, m.Ended...)
		all.Withdrawn = append(all.Withdrawn, m.Withdrawn...)
		all.Asks = append(all.Asks, m.Asks...)
		all.Changes = append(all.Changes, m.Changes...)
		all.Proofs = append(all.Proofs, m.Proofs...)
		all.Passed = append(all.Passed, m.Passed...)
		all.Limits = append(all.Limits, m.Limits...)
		all.Departures = append(all.Departures, m.Departures...)
		all.HeldBack = append(all.HeldBack, m.HeldBack...)
		all.PastEnds = append(all.PastEnds, m.PastEnds...)
		if len(m.Reads) > 0 {
			all.Reads = m.Reads
		}
		if m.EndsMs > 0 {
			all.EndsMs = m.EndsMs
		}
	}
	return all
}
