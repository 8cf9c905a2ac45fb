package serve_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
)

// The port of a killed server stays reserved. Otherwise the system could assign it to another connection, and a restart
// would fail with "address already in use".
func TestKilledServerReservesItsPort(t *testing.T) {
	is := is.New(t)
	s, err := serve.Start("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {})
	is.NoErr(err)
	defer s.Close()
	for range 3 {
		s.Kill()
		_, err = net.Dial("tcp", s.Addr())
		is.True(errors.Is(err, syscall.ECONNREFUSED)) // as with a dead process
		_, err = (&net.Dialer{LocalAddr: resolveAddr(t, s.Addr())}).Dial("tcp", "127.0.0.1:9")
		is.True(errors.Is(err, syscall.EADDRINUSE)) // an outgoing connection can't take the port
		is.NoErr(s.Restart())
		c, err := net.Dial("tcp", s.Addr())
		is.NoErr(err)
		_ = c.Close()
	}
}

func resolveAddr(t *testing.T, addr string) net.Addr {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return a
}
