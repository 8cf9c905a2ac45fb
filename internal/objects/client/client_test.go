package client_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects/client"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/instances"
)

// Every instance reads the instance list twice a second, and the list rarely changes. An unchanged list must not be sent
// again, and the next read must return a change.
func TestUnchangedInstanceListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	s, err := instances.Start("127.0.0.1:0", 0)
	is.NoErr(err)
	defer s.Close()
	s.Register(wire.Instance{ID: "e1", Kind: wire.KindEngine, State: wire.StateLive})
	c := client.New(client.Addresses{Instances: s.Addr()})
	defer c.Close()
	first, err := c.Instances(context.Background())
	is.NoErr(err)
	is.Equal(len(first.Instances), 1)

	req, err := http.NewRequest(http.MethodGet, "http://"+s.Addr()+wire.PathInstances, nil)
	is.NoErr(err)
	req.Header.Set("If-None-Match", wire.InstancesETag(first.Version))
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusNotModified)

	again, err := c.Instances(context.Background())
	is.NoErr(err)
	is.Equal(again, first)
	s.SetLeaving("e1")
	changed, err := c.Instances(context.Background())
	is.NoErr(err)
	is.True(changed.Version > first.Version)
	is.Equal(changed.Instances[0].State, wire.StateLeaving)
	is.Equal(first.Instances[0].State, wire.StateLive) // the list of the earlier read is not modified
}

// Guards against an instance list, or a list of objects, that is lost whole because of one odd entry.
func TestOddEntryLeavesTheOthers(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)
	bodies := map[string]string{
		"/instances": `{"version":7,"instances":[{"id":"odd","memory_tokens":1e400},{"id":5},"x",` + deep + `,{"id":"deep","more":` + deep + `},{"id":"e1","addr":"a"}]}`,
		"/objects/k": `{"version":7,"objects":[{"kind":"k","name":"odd","version":5,"value":` + deep + `},{"kind":"k","name":"a","version":6,"value":1}]}`,
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, bodies[r.URL.Path]) }))
	defer s.Close()
	addr := strings.TrimPrefix(s.URL, "http://")
	c := client.New(client.Addresses{Instances: addr, Objects: addr})
	defer c.Close()
	list, err := c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(list.Version, uint64(7))
	is.Equal(len(list.Instances), 2) // its unknown field is ignored
	is.Equal(len(list.LeftOut), 4)
	is.Equal(list.Instances[1], wire.Instance{ID: "e1", Addr: "a"})
	stored, err := c.List(t.Context(), "k")
	is.NoErr(err)
	is.Equal(len(stored.Objects), 2)
	is.Equal(string(stored.Objects[1].Value), "1")
}
