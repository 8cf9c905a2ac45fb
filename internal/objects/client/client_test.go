package client_test

import (
	"context"
	"net/http"
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
