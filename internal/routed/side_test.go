package routed

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// lateListener tells the end of accepting late, as to a goroutine that has to wait for a processor.
type lateListener struct{ net.Listener }

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(20 * time.Millisecond)
	}
	return c, err
}

// Guards against a stop that fails on a busy machine, because the listeners take turns in closing.
func TestListenersCloseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := func() net.Listener { return lateListener{fasthttputil.NewInmemoryListener()} }
		s := &side{
			ready: &fasthttp.Server{}, metrics: &fasthttp.Server{}, served: make(chan error, 2),
			readyOn: listener(), metricsOn: listener(),
		}
		callers, callersOn := &fasthttp.Server{}, listener()
		go s.serve()
		go func() { _ = callers.Serve(callersOn) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), closeMargin/2)
		defer cancel()
		err := shutAll(ctx, callers.ShutdownWithContext, s.shutdown)
		time.Sleep(time.Minute) // the servers' own goroutines end
		is.NoErr(err)
	})
}
