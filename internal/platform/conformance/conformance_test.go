package conformance_test

import (
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
	"github.com/damaskshelf/damaskshelf/internal/platform"
	"github.com/damaskshelf/damaskshelf/internal/platform/client"
	"github.com/damaskshelf/damaskshelf/internal/platform/conformance"
	"github.com/damaskshelf/damaskshelf/internal/platform/memory"
	"github.com/damaskshelf/damaskshelf/internal/standin/objects"
)

func TestMemory(t *testing.T) {
	conformance.Run(t, func(*testing.T) platform.Store { return memory.New() })
}

// dial gives a client of a new stand-in.
func dial(t *testing.T) *client.Client {
	server, err := objects.Start("127.0.0.1:0", objects.NewStore(objects.DefaultHistory))
	if err != nil {
		t.Fatal(err)
	}
	c := client.New(client.Addresses{Objects: server.Addr()})
	t.Cleanup(func() {
		c.Close()
		server.Close()
	})
	return c
}

func TestClientAgainstTheStandIn(t *testing.T) {
	conformance.Run(t, func(t *testing.T) platform.Store { return patient{dial(t)} })
}

// The budget of one instance of nine lets through what the suite does.
func TestBudgetedClientAgainstTheStandIn(t *testing.T) {
	conformance.Run(t, func(t *testing.T) platform.Store {
		return patient{client.NewBudgeted(dial(t), storebudget.DefaultLimits, func() int { return 9 })}
	})
}
