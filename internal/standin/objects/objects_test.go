package objects_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/objects"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const objectPath = "/objects/config/main"

func start(t *testing.T) *objects.Server {
	t.Helper()
	s, err := objects.Start("127.0.0.1:0", objects.NewStore(objects.DefaultHistorySize))
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s
}

// put returns a write; it is unconditional if ifVersion is empty.
func put(path, value, ifVersion, writeID string) rawhttp.Call {
	c := rawhttp.Call{Method: fasthttp.MethodPut, Path: path, Body: []byte(value)}.WithHeader(wire.HeaderWriteID, writeID)
	if ifVersion != "" {
		c = c.WithHeader(wire.HeaderIfVersion, ifVersion)
	}
	return c
}

func get(path string) rawhttp.Call { return rawhttp.Call{Method: fasthttp.MethodGet, Path: path} }

// decode returns a response's body as a T.
func decode[T any](t *testing.T, r *rawhttp.Result) T {
	t.Helper()
	is := is.New(t)
	is.NoErr(r.Err)
	var v T
	is.NoErr(json.Unmarshal(r.Body, &v))
	return v
}

func TestHTTP(t *testing.T) {
	large := `"` + strings.Repeat("x", objects.MaxValueBytes) + `"`
	largest := `"` + strings.Repeat("x", objects.MaxValueBytes-2) + `"`
	cases := []struct {
		name   string
		call   rawhttp.Call
		status int
		body   string // checked when not empty
	}{
		{"absent", get(objectPath), 404, `{"current":0,"write_id":""}`},
		{"create", put(objectPath, `{"a":1}`, "0", "w1"), 200, `{"version":1}`},
		{"create twice", put(objectPath, `{"a":1}`, "0", "w2"), 409, `{"current":1,"write_id":"w1"}`},
		{"read", get(objectPath), 200, `{"kind":"config","name":"main","version":1,"write_id":"w1","value":{"a":1}}`},
		{"list", get("/objects/config"), 200, `{"version":1,"objects":[{"kind":"config","name":"main","version":1,"write_id":"w1","value":{"a":1}}]}`},
		{"other kind", get("/objects/lease"), 200, `{"version":1,"objects":[]}`},
		{"update", put(objectPath, `2`, "1", "w3"), 200, `{"version":2}`},
		{"not JSON", put(objectPath, `{`, "", "w4"), 400, ""},
		{"bad condition", put(objectPath, `1`, "x", "w4"), 400, ""},
		{"largest", put("/objects/config/big", largest, "", "w4"), 200, `{"version":3}`},
		{"too large", put("/objects/config/big", large, "", "w5"), 413, ""},
		{"escaped name", put("/objects/config/a%2Fb", `1`, "", "w5"), 200, `{"version":4}`},
		{"read escaped name", get("/objects/config/a%2Fb"), 200, `{"kind":"config","name":"a/b","version":4,"write_id":"w5","value":1}`},
		{"watch without change", get("/objects/config?watch=4&timeout_ms=1"), 200, `{"version":4,"objects":[]}`},
		{"bad watch", get("/objects/config?watch=x"), 400, ""},
		{"watch of another store", get("/objects/config?watch=9"), 200, `{"version":4,"objects":[],"too_old":true}`},
		{"delete", rawhttp.Call{Method: "DELETE", Path: objectPath}.WithHeader(wire.HeaderWriteID, "d1"), 200, `{"version":5}`},
		{"delete again", rawhttp.Call{Method: "DELETE", Path: objectPath}, 200, `{"version":5}`},
		{"conditional delete of an absent one", rawhttp.Call{Method: "DELETE", Path: objectPath}.WithHeader(wire.HeaderIfVersion, "2"), 409, `{"current":0,"write_id":"d1"}`},
		{"deleted", get(objectPath), 404, `{"current":0,"write_id":"d1"}`},
		{"watch of the delete", get("/objects/config?watch=4"), 200, `{"version":5,"objects":[],"deleted":["main"]}`},
	}
	s := start(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := c.call.Do(s.Addr())
			is.NoErr(r.Err)
			is.Equal(r.Status, c.status)
			if c.body != "" {
				is.Equal(string(r.Body), c.body)
			}
		})
	}
	is.New(t).Equal(s.Counts(), objects.Counts{Reads: 6, Writes: 11, Watches: 4})
}

func TestWatchReturnsOnAChange(t *testing.T) {
	is := is.New(t)
	s := start(t)
	result := make(chan *rawhttp.Result, 1)
	go func() { result <- get("/objects/config?watch=0&timeout_ms=20000").Do(s.Addr()) }()
	for s.Counts().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(put("/objects/lease/x", `1`, "", "").Do(s.Addr()).Status, 200) // another kind
	is.Equal(put(objectPath, `1`, "", "w").Do(s.Addr()).Status, 200)
	list := decode[wire.List](t, <-result)
	is.Equal(list.Version, uint64(2))
	is.Equal(list.Objects[0].Name, "main")
}

// Of concurrent writes that are conditional on the same version, exactly one takes effect.
func TestOnlyOneConcurrentWriteTakesEffect(t *testing.T) {
	is := is.New(t)
	s := start(t)
	const writers = 8
	statuses := make([]int, writers)
	var wg sync.WaitGroup
	for n := range writers {
		wg.Go(func() { statuses[n] = put(objectPath, `1`, "0", fmt.Sprint(n)).Do(s.Addr()).Status })
	}
	wg.Wait()
	count := map[int]int{}
	for _, status := range statuses {
		count[status]++
	}
	is.Equal(count, map[int]int{200: 1, 409: writers - 1})
}

// A write takes effect although its response is lost. The writer recognizes it by the write id that a read returns.
func TestWriteTakesEffectWhenItsResponseIsLost(t *testing.T) {
	is := is.New(t)
	s := start(t)
	is.NoErr(s.Switch(faults.LoseAnswer, true, 0))
	r := put(objectPath, `1`, "0", "mine").Do(s.Addr())
	is.Equal(r.Status, 0)
	is.True(r.Err != nil)
	is.Equal(decode[wire.Object](t, get(objectPath).Do(s.Addr())).WriteID, "mine")
}

func TestStaleReads(t *testing.T) {
	is := is.New(t)
	s := start(t)
	is.Equal(put(objectPath, `1`, "", "").Do(s.Addr()).Status, 200)
	is.NoErr(s.Switch(faults.StaleReads, true, 0))
	is.Equal(put(objectPath, `2`, "1", "").Do(s.Addr()).Status, 200) // writes use the current store
	is.Equal(string(decode[wire.Object](t, get(objectPath).Do(s.Addr())).Value), `1`)
	is.NoErr(s.Switch(faults.StaleReads, false, 0))
	is.Equal(string(decode[wire.Object](t, get(objectPath).Do(s.Addr())).Value), `2`)
}

// An object changes while reads are stale. A watch that started during that time returns the change as soon as reads are
// current again.
func TestWatchReturnsChangeMadeDuringStaleReads(t *testing.T) {
	is := is.New(t)
	s := start(t)
	is.NoErr(s.Switch(faults.StaleReads, true, 0))
	result := make(chan *rawhttp.Result, 1)
	go func() { result <- get("/objects/config?watch=0&timeout_ms=20000").Do(s.Addr()) }()
	for s.Counts().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(put(objectPath, `1`, "", "w").Do(s.Addr()).Status, 200)
	time.Sleep(50 * time.Millisecond) // long enough for a watch of the current store to respond
	is.Equal(len(result), 0)
	is.NoErr(s.Switch(faults.StaleReads, false, 0))
	is.Equal(decode[wire.List](t, <-result).Version, uint64(1))
}

func TestOutages(t *testing.T) {
	is := is.New(t)
	s := start(t)
	is.NoErr(s.Switch(faults.Kill, true, 0))
	is.Equal(get(objectPath).Do(s.Addr()).Status, 0)
	is.NoErr(s.Switch(faults.Kill, false, 0))
	is.Equal(get(objectPath).Do(s.Addr()).Status, 404)

	is.NoErr(s.Switch(faults.RefuseEverything, true, 0))
	is.Equal(get(objectPath).Do(s.Addr()).Status, 503)
	is.NoErr(s.Switch(faults.RefuseEverything, false, 0))

	is.NoErr(s.Switch(faults.Hang, true, 0))
	call := get(objectPath)
	call.Timeout = 100 * time.Millisecond
	is.Equal(call.Do(s.Addr()).Status, 0)
	is.NoErr(s.Switch(faults.Hang, false, 0))
	is.Equal(get(objectPath).Do(s.Addr()).Status, 404)
	is.True(s.Switch(faults.Cold, true, 0) != nil) // not a fault of the object API
}
