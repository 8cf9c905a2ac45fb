package accept_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/accept"
)

// scriptedListener returns one error after the other, and then connections.
type scriptedListener struct {
	net.Listener
	errs    chan error
	conns   chan net.Conn
	waiting chan struct{} // receives one value for each error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errs:
		l.waiting <- struct{}{}
		return nil, err
	default:
		return <-l.conns, nil
	}
}

// await waits until a condition holds, and fails the test after 10 s.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out")
		}
	}
}

// Guards against an instance that stops accepting for good once it was out of descriptors.
func TestAcceptGoesOnAfterShortage(t *testing.T) {
	is := is.New(t)
	shortages := []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ENETDOWN, syscall.EPERM}
	inner := &scriptedListener{errs: make(chan error, len(shortages)), conns: make(chan net.Conn), waiting: make(chan struct{}, len(shortages))}
	for _, errno := range shortages {
		inner.errs <- &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	l := accept.Retrying(inner, "callers", hclog.NewNullLogger())
	is.True(!l.Failing())
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	for range shortages {
		select {
		case <-inner.waiting:
		case <-time.After(10 * time.Second):
			t.Fatal("Accept didn't try again")
		}
	}
	await(t, l.Failing)
	await(t, func() bool { return !l.Failing() }) // without a connection, since a balancer sends none
	near, far := net.Pipe()
	defer func() { _ = errors.Join(near.Close(), far.Close()) }()
	inner.conns <- near
	is.NoErr(<-accepted)
	is.True(!l.Failing())
}

// Guards against a loop over a listener that is closed.
func TestAcceptEndsWithItsListener(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := accept.Retrying(inner, "callers", hclog.NewNullLogger())
	is.NoErr(l.Close())
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}
