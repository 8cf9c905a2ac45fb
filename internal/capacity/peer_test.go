package capacity_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/peer"
)

// processorTime begins to count this process's processor time, of all threads; the function that it gives
// reports it for each operation. Unlike the time that passes, it does not grow much on a busy machine.
func processorTime(b *testing.B) func() {
	before := used(b)
	return func() { b.ReportMetric(float64(used(b)-before)/float64(b.N), "cpu-ns/op") }
}

func used(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// serves answers heartbeats and pulls.
type serves struct {
	digest relay.Digest
	config relay.Config
}

func (s serves) Heartbeat(relay.Digest) relay.Digest { return s.digest }

func (s serves) Config() relay.Config { return s.config }

func servePeers(b *testing.B, s serves) string {
	server, err := peer.NewServer(s)
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

// BenchmarkHeartbeat is one exchange over loopback, both ends together.
func BenchmarkHeartbeat(b *testing.B) {
	d := relay.Digest{Instance: "entry-0001", Incarnation: 1, ConfigVersion: 4_000_000, ListVersion: 4_000_000, Trusted: true}
	addr := servePeers(b, serves{digest: d})
	c := peer.NewClient()
	b.Cleanup(c.Close)
	b.ReportAllocs()
	defer processorTime(b)()
	for b.Loop() {
		if _, err := c.Heartbeat(context.Background(), addr, d); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPull is one pull of a configuration over loopback, both ends together, without taking it.
func BenchmarkPull(b *testing.B) {
	for _, s := range shapes {
		b.Run(s.String(), func(b *testing.B) {
			packed, err := peer.Pack(marshal(b, s.config()))
			if err != nil {
				b.Fatal(err)
			}
			addr := servePeers(b, serves{config: relay.Config{Version: 9, Packed: packed}})
			c := peer.NewClient()
			b.Cleanup(c.Close)
			b.ReportAllocs()
			defer processorTime(b)()
			for b.Loop() {
				if _, err := c.Pull(context.Background(), addr, 8); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
