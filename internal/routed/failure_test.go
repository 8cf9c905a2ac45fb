package routed

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/accept"
	"github.com/damaskshelf/damaskshelf/internal/entry/gate"
)

// newListeningNode returns a node that only runs what serveInBackground is given.
func newListeningNode() *Node {
	n := &Node{parts: parts{Gate: &gate.Gate{}}, failure: accept.NewFailure()}
	n.background, n.stopBackground = context.WithCancel(context.Background())
	return n
}

// Guards against an instance that goes on without one of its listeners: it looks alive and serves nobody.
func TestEndOfListenerIsFailureOfInstance(t *testing.T) {
	is := is.New(t)
	n := newListeningNode()
	n.serveInBackground("callers", func(context.Context) error { return errors.New("gone") })
	n.wg.Wait()
	select {
	case err := <-n.Failed():
		is.True(strings.Contains(err.Error(), "listener for callers has ended: gone"))
	case <-time.After(10 * time.Second):
		t.Fatal("no failure was reported")
	}
}

// The end of a listener at a planned stop is no failure.
func TestStoppedListenerIsNoFailure(t *testing.T) {
	n := newListeningNode()
	n.parts.Gate.MarkUnready()
	n.serveInBackground("callers", func(context.Context) error { return nil })
	n.wg.Wait()
	select {
	case err := <-n.Failed():
		t.Fatal(err)
	default:
	}
}
