// Package peer exchanges heartbeats and the configuration between instances over drpc. Package decide/relay defines what
// the messages mean. This package limits the connections, message sizes and times that a peer can use.
package peer

import (
	"fmt"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/decide/relay"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/packed"
	"github.com/damaskshelf/damaskshelf/internal/peer/peerpb"
)

const (
	// MaxMessageBytes is the maximum size of one message. A packed configuration is below the store's limit of a
	// megabyte, and so is a packed list of ten thousand upstreams. Messages that wait for a slow reader are sent as
	// one.
	MaxMessageBytes  = 8 << 20
	maxUnpackedBytes = 1 << 20 // maximum size of one object in the store
	maxDigestSigns   = 256     // maximum number of leaving signs in a received digest
)

// encodeDigest converts a digest to its message.
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

// decodeDigest converts a received message to a digest. It fails if the message carries more than maxDigestSigns signs.
func decodeDigest(d *peerpb.Digest) (relay.Digest, error) {
	if len(d.Leaving) > maxDigestSigns {
		return relay.Digest{}, fmt.Errorf("digest of %s carries %d signs; at most %d are taken", d.Instance, len(d.Leaving), maxDigestSigns)
	}
	out := relay.Digest{
		Instance: fleet.InstanceID(d.Instance), Incarnation: d.Incarnation,
		ConfigVersion: d.ConfigVersion, ListVersion: d.ListVersion, SignsHash: d.SignsHash, Trusted: d.Trusted,
	}
	for _, s := range d.Leaving {
		out.Leaving = append(out.Leaving, relay.LeavingSign{
			Upstream: fleet.UpstreamID(s.Upstream), Boot: s.Boot, Round: s.Round,
			Age: time.Duration(s.AgeMs) * time.Millisecond,
		})
	}
	return out, nil
}

// Pack compresses a configuration. The instance at which a version enters the fleet packs it once; the others relay the
// packed bytes unchanged.
func Pack(raw []byte) ([]byte, error) { return packed.Pack(raw, packed.Small) }

// Unpack returns the bytes of a packed configuration. It fails if they are more than a megabyte.
func Unpack(in []byte) ([]byte, error) { return packed.Unpack(in, maxUnpackedBytes) }
