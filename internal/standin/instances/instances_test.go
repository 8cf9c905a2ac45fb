package instances_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/instances"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func start(t *testing.T, lag time.Duration) *instances.Server {
	t.Helper()
	s, err := instances.Start("127.0.0.1:0", lag)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s
}

// readList reads the list over HTTP.
func readList(t *testing.T, s *instances.Server) wire.InstanceList {
	t.Helper()
	is := is.New(t)
	r := rawhttp.Call{Method: fasthttp.MethodGet, Path: wire.PathInstances}.Do(s.Addr())
	is.NoErr(r.Err)
	is.Equal(r.Status, fasthttp.StatusOK)
	var list wire.InstanceList
	is.NoErr(json.Unmarshal(r.Body, &list))
	return list
}

// rowStates returns each row as "id state".
func rowStates(list wire.InstanceList) []string {
	rows := []string{}
	for _, i := range list.Instances {
		rows = append(rows, i.ID+" "+i.State)
	}
	return rows
}

func TestRowsAreAddedChangedAndRemoved(t *testing.T) {
	is := is.New(t)
	s := start(t, 0)
	is.Equal(rowStates(readList(t, s)), []string{})
	s.Register(wire.Instance{ID: "b", Kind: wire.KindEngine})
	s.Register(wire.Instance{ID: "a", Kind: wire.KindEntry})
	before := readList(t, s)
	is.Equal(rowStates(before), []string{"a live", "b live"})
	s.SetLeaving("b")
	is.Equal(rowStates(readList(t, s)), []string{"a live", "b leaving"})
	s.Register(wire.Instance{ID: "b", Kind: wire.KindEngine}) // a new process replaces b under the same id
	s.Remove("a")
	after := readList(t, s)
	is.Equal(rowStates(after), []string{"b live"})
	is.Equal(after.Version, before.Version+3)
	is.Equal(s.ReadCount(), uint64(4))
}

// Readers see the list as it was before a change until the change is as old as the lag.
func TestReadersSeeChangesAfterTheLag(t *testing.T) {
	is := is.New(t)
	s := start(t, time.Hour)
	s.Register(wire.Instance{ID: "a"})
	is.Equal(rowStates(readList(t, s)), []string{})
	is.Equal(rowStates(s.List()), []string{"a live"}) // List has no lag
	s.SetLag(0)
	is.Equal(rowStates(readList(t, s)), []string{"a live"})
}

func TestLagFaultFreezesTheList(t *testing.T) {
	is := is.New(t)
	s := start(t, 0)
	s.Register(wire.Instance{ID: "a"})
	is.NoErr(s.Switch(faults.StaleInstanceList, true, 0))
	s.Remove("a")
	is.Equal(rowStates(readList(t, s)), []string{"a live"})
	is.NoErr(s.Switch(faults.StaleInstanceList, false, 0))
	is.Equal(rowStates(readList(t, s)), []string{})
}
