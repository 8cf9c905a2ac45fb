package packed

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// configWithRoutes returns a value with a number of routes. The changed one has the given timeout in ms, the others
// 1000 ms.
func configWithRoutes(routes, changed, timeout int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, timeout)
	for i := range routes {
		t := 1000
		if i == changed {
			t = timeout
		}
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","path_prefix":"/p%x/","timeout_ms":%d},`, i*2654435761%1e9, i*40503%65521, i*48271%1e8, t)
	}
	return append(b.Bytes(), "]}"...)
}

// If each change of a long configuration were sent in full to hundreds of instances, it would saturate the sender's link,
// although only one route changes. The difference must be a small part of the packed configuration.
func TestDiffIsSmall(t *testing.T) {
	is := is.New(t)
	base, next := configWithRoutes(1500, 700, 1000), configWithRoutes(1500, 700, 2500)
	d, err := Diff(base, next)
	is.NoErr(err)
	full, err := Pack(next, Fast)
	is.NoErr(err)
	t.Logf("%d bytes, packed %d, difference %d", len(next), len(full), len(d))
	is.True(len(d) < len(full)/20)
	back, err := Patch(base, d, len(next))
	is.NoErr(err)
	is.True(bytes.Equal(back, next))
}

// A difference to another base doesn't result in the value. A damaged difference is an error.
func TestPatchRejectsOtherBaseAndDamage(t *testing.T) {
	is := is.New(t)
	base, next := configWithRoutes(100, 7, 1000), configWithRoutes(100, 7, 2500)
	d, err := Diff(base, next)
	is.NoErr(err)
	if back, err := Patch(configWithRoutes(90, 7, 999), d, len(next)); err == nil {
		is.True(!bytes.Equal(back, next))
	}
	d[len(d)/2] ^= 0xff
	_, err = Patch(base, d, len(next))
	is.True(err != nil)
}
