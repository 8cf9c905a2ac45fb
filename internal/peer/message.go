// Package peer carries heartbeats and configuration between instances over drpc. The messages' meaning
// is decide/relay's; this package bounds what a peer can cost: connections, sizes and times.
package peer

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/peer/peerpb"
)

const (
	// MaxMessage bounds one message in bytes. A packed configuration is below the store's megabyte, and so is a
	// packed list of ten thousand upstreams; messages that wait for a slow reader are sent as one.
	MaxMessage  = 8 << 20
	maxUnpacked = 1 << 20 // bytes of one object of the store
	maxDigest   = 256     // signs that a received digest may carry
)

func encodeDigest(d relay.Digest) *peerpb.Digest {
	out := &peerpb.Digest{
		Instance: string(d.Instance), Incarnation: d.Incarnation,
		ConfigVersion: d.ConfigVersion, ListVersion: d.ListVersion, SignsHash: d.SignsHash, Trusted: d.Trusted,
	}
	for _, s := range d.Leaving {
		out.Leaving = append(out.Leaving, &peerpb.LeavingSign{
			Upstream: string(s.Upstream), Boot: s.Boot, AgeMs: uint32(s.Age.Milliseconds()), Round: s.Round,
		})
	}
	return out
}

func decodeDigest(d *peerpb.Digest) (relay.Digest, error) {
	if len(d.Leaving) > maxDigest {
		return relay.Digest{}, fmt.Errorf("digest of %s carries %d signs; at most %d are taken", d.Instance, len(d.Leaving), maxDigest)
	}
	out := relay.Digest{
		Instance: fleet.InstanceID(d.Instance), Incarnation: d.Incarnation,
		ConfigVersion: d.ConfigVersion, ListVersion: d.ListVersion, SignsHash: d.SignsHash, Trusted: d.Trusted,
	}
	for _, s := range d.Leaving {
		out.Leaving = append(out.Leaving, relay.Sign{
			Upstream: fleet.UpstreamID(s.Upstream), Boot: s.Boot, Round: s.Round,
			Age: time.Duration(s.AgeMs) * time.Millisecond,
		})
	}
	return out, nil
}

// Pack compresses a configuration once, where it enters the fleet; it is relayed as it is.
func Pack(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack gives the configuration's bytes, at most a megabyte of them.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	if len(raw) > maxUnpacked {
		return nil, fmt.Errorf("unpack configuration: over %d bytes", maxUnpacked)
	}
	return raw, nil
}
