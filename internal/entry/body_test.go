package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
	"github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// Guards against a booking that runs with another body than its caller sent, or is refused, because its content type says that
// the body is a form.
func TestBodyOfAnyContentTypeReachesService(t *testing.T) {
	is := is.New(t)
	b := startFleet(t)
	for _, contentType := range []string{"application/json", "multipart/form-data; boundary=b"} {
		q := b.booking(0, "", false)
		r := rawhttp.Call{
			Path: q.Path, Body: []byte(q.Body), Timeout: 10 * time.Second,
			Headers: map[string]string{"Content-Type": contentType, wire.HeaderRequestID: q.ID, wire.HeaderIdempotent: q.Idempotent},
		}.Do(q.Addr)
		is.NoErr(r.Err)
		is.Equal(r.Status, 201)
		is.Equal(b.fleet.Cluster.Ledger.RunsByRequest()[q.ID], 1)
	}
}
