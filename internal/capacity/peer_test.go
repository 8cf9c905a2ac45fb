package capacity_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/peer"
)

// measureCPUTime starts to measure the CPU time of all threads of this process. The returned function reports it per
// operation. Unlike elapsed time, CPU time does not grow much on a busy machine.
func measureCPUTime(b *testing.B) func() {
	start := cpuTimeNs(b)
	return func() { b.ReportMetric(float64(cpuTimeNs(b)-start)/float64(b.N), "cpu-ns/op") }
}

// cpuTimeNs returns the user and system CPU time of this process in ns.
func cpuTimeNs(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// fixedHandler is a peer.Handler with fixed answers.
type fixedHandler struct {
	digest relay.Digest
	config relay.Config
}

func (s fixedHandler) Heartbeat(relay.Digest) relay.Digest { return s.digest }

func (s fixedHandler) Config() relay.Config { return s.config }

// startPeerServer serves peers on a loopback listener until the benchmark ends, and returns the address.
func startPeerServer(b *testing.B, s fixedHandler) string {
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

// BenchmarkHeartbeat measures one heartbeat exchange over loopback, with the cost of both ends.
func BenchmarkHeartbeat(b *testing.B) {
	d := relay.Digest{Instance: "entry-0001", Incarnation: 1, ConfigVersion: 4_000_000, ListVersion: 4_000_000, Trusted: true}
	addr := startPeerServer(b, fixedHandler{digest: d})
	c := peer.NewClient()
	b.Cleanup(c.Close)
	b.ReportAllocs()
	defer measureCPUTime(b)()
	for b.Loop() {
		if _, err := c.Heartbeat(context.Background(), addr, d); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPull measures one pull of a configuration over loopback, with the cost of both ends but without applying it.
func BenchmarkPull(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			packed, err := peer.Pack(marshal(b, s.config()))
			if err != nil {
				b.Fatal(err)
			}
			addr := startPeerServer(b, fixedHandler{config: relay.Config{Version: 9, Packed: packed}})
			c := peer.NewClient()
			b.Cleanup(c.Close)
			b.ReportAllocs()
			defer measureCPUTime(b)()
			for b.Loop() {
				if _, err := c.Pull(context.Background(), addr, 8); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
