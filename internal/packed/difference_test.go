package packed

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// config gives a value of so many routes, one of them with a timeout of its own.
func config(routes, changed, timeout int) []byte {
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

// Each change of a long configuration goes to hundreds of instances whole, and fills the link of the one that sends it:
// what has changed is a route.
func TestADifferenceIsSmall(t *testing.T) {
	is := is.New(t)
	base, next := config(1500, 700, 1000), config(1500, 700, 2500)
	d, err := Diff(base, next)
	is.NoErr(err)
	whole, err := Pack(next, Fast)
	is.NoErr(err)
	t.Logf("%d bytes, packed whole %d, the difference %d", len(next), len(whole), len(d))
	is.True(len(d) < len(whole)/20)
	back, err := Patch(base, d, len(next))
	is.NoErr(err)
	is.True(bytes.Equal(back, next))
}

// What is packed against another base, or is spoiled or too long, is refused.
func TestADifferenceOfAnotherBaseIsNotTheValue(t *testing.T) {
	is := is.New(t)
	base, next := config(100, 7, 1000), config(100, 7, 2500)
	d, err := Diff(base, next)
	is.NoErr(err)
	if back, err := Patch(config(90, 7, 999), d, len(next)); err == nil {
		is.True(!bytes.Equal(back, next))
	}
	d[len(d)/2] ^= 0xff
	_, err = Patch(base, d, len(next))
	is.True(err != nil)
}
