package watch

import (
	"strconv"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// versionDecoder decodes configurations that consist of their version only.
type versionDecoder struct{ emptyDecoder }

// Config implements Decoder.
func (versionDecoder) Config(o wire.Object) (*catalog.Config, error) {
	version, err := strconv.ParseUint(string(o.Value), 10, 64)
	return &catalog.Config{Version: version}, err
}

// Guards against a revoked API key that is accepted again: an older configuration is written later, as by an operator's
// tool that is behind, or arrives in an outdated copy of the store. The highest version that was in force must stay.
func TestOlderConfigurationIsRejected(t *testing.T) {
	is := is.New(t)
	f := New(Deps{Kinds: Kinds{Config: "c", ConfigName: "main", Upstreams: "u", DomainsOut: "o"}, Decoder: versionDecoder{}, Log: hclog.NewNullLogger()})
	for i, c := range []struct{ version, inForce string }{{"5", "5"}, {"4", "5"}, {"5", "5"}, {"nonsense", "5"}, {"6", "6"}, {"1", "6"}} {
		revision := uint64(i + 1)
		f.ApplyChange(Change{Kind: "c", Full: true, To: revision, Objects: []wire.Object{
			{Kind: "c", Name: "main", Version: revision, Value: []byte(c.version)},
		}})
		is.Equal(strconv.FormatUint(f.Snapshot().Config.Version, 10), c.inForce)
	}
	f.ApplyChange(Change{Kind: "c", Full: true, To: 9}) // the object is deleted
	is.Equal(f.Snapshot().Config.Version, uint64(6))
}
