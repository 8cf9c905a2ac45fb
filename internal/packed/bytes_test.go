package packed

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskshelf/damaskshelf/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// lengths are lengths of values in bytes, from the least that is sent as a difference to what a store accepts, around the
// blocks and windows of the compression.
var lengths = []int{0, 1, 7, 8, 9, 1 << 10, 8 << 10, 8<<10 + 1, 64 << 10, 64<<10 + 1, 128<<10 - 1, 128 << 10, 128<<10 + 1, 256<<10 + 3, 512 << 10, 1<<20 - 1, 1 << 20, 1<<20 + 1}

// similar returns a value of a length that shares runs of bytes with base, at other offsets.
func similar(r *rand.Rand, base []byte, length int) []byte {
	out := make([]byte, 0, length)
	for len(out) < length {
		n := min(length-len(out), 1+r.IntN(1+r.IntN(20_000)))
		if len(base) > 0 && r.IntN(4) > 0 {
			at := r.IntN(len(base))
			out = append(out, base[at:min(len(base), at+n)]...)
			continue
		}
		for range n {
			out = append(out, byte('a'+r.IntN(1+r.IntN(26))))
		}
	}
	return out
}

// Guards against instances that end, or that take another configuration than the one sent, because of a difference between
// two values: the same difference reaches all of them. Values of any length are patched whole, and damaged or foreign
// differences are errors or other values of bounded length.
func TestAnyDifferenceIsPatchedOrRejected(t *testing.T) {
	const maxBytes = 4 << 20
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		base := similar(r, nil, lengths[r.IntN(len(lengths))])
		next := similar(r, base, lengths[r.IntN(len(lengths))])
		name := fmt.Sprintf("%d to %d bytes", len(base), len(next))
		d, err := Diff(base, next)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		back, err := Patch(base, d, maxBytes)
		if err != nil || !bytes.Equal(back, next) {
			t.Fatalf("%s: patched to %d bytes, error %v", name, len(back), err)
		}
		for range 20 {
			damaged := bytes.Clone(d)
			for range 1 + r.IntN(4) {
				damaged[r.IntN(len(damaged))] ^= byte(1 << r.IntN(8))
			}
			damaged = damaged[:len(damaged)-r.IntN(1+len(damaged)/2)]
			if back, err := Patch(base, damaged, maxBytes); err == nil && len(back) > maxBytes {
				t.Fatalf("%s: a damaged difference became %d bytes", name, len(back))
			}
		}
	})
}

// FuzzPatch checks that any bytes are patched to a value of bounded length or rejected.
func FuzzPatch(f *testing.F) {
	base, next := configWithRoutes(100, 7, 1000), configWithRoutes(100, 7, 2500)
	d, err := Diff(base, next)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(base, d)
	f.Add([]byte{}, d)
	f.Add(base, []byte{})
	f.Fuzz(func(t *testing.T, base, difference []byte) {
		const maxBytes = 1 << 20
		if back, err := Patch(base, difference, maxBytes); err == nil && len(back) > maxBytes {
			t.Fatalf("patched to %d bytes", len(back))
		}
		if back, err := Unpack(difference, maxBytes); err == nil && len(back) > maxBytes {
			t.Fatalf("unpacked to %d bytes", len(back))
		}
	})
}
