package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against memory that stays reserved on engines for seconds after its request ended. If the engine that
// answers the request loses power, no reset arrives and the connection looks open, so the instance keeps waiting and
// renewing the reservations. The connection itself must detect that its peer is gone.
func TestConnectionDetectsSilentPeer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, err := New().pool.dial(context.Background(), l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) int {
		var v int
		is.NoErr(raw.Control(func(fd uintptr) { v, err = unix.GetsockoptInt(int(fd), level, name) }))
		is.NoErr(err)
		return v
	}
	is.Equal(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 1)
	is.True(option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT) <= 2)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), 1800)
}
