package placement

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// scriptedStream is a session's stream on which each message arrives a while after it is asked for.
type scriptedStream struct {
	pb.DRPCPlacement_AttachStream
	delay time.Duration
}

// Recv implements placementpb.DRPCPlacement_AttachStream.
func (s *scriptedStream) Recv() (*pb.FromEntry, error) {
	time.Sleep(s.delay)
	return &pb.FromEntry{}, nil
}

// Guards against sessions that a dispatcher ends because it was busy with one message for longer than an instance may be silent:
// the next messages lie unread, and the instance counts as gone.
func TestOwnWorkIsNoSilenceOfInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ended atomic.Bool
		raw := &scriptedStream{delay: time.Millisecond}
		s := newTimeoutStream(raw, func() { ended.Store(true) })
		defer s.timer.Stop()
		for range 3 {
			time.Sleep(5 * sessionTimeout) // attaches, or processes the message before
			is.True(!ended.Load())
			_, err := s.Recv()
			is.NoErr(err)
		}
		raw.delay = sessionTimeout / 2
		for range 10 {
			_, _ = s.Recv()
			is.True(!ended.Load())
		}
		raw.delay = 2 * sessionTimeout
		_, _ = s.Recv()
		is.True(ended.Load()) // silent
	})
}
