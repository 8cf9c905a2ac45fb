package conformance_test

import (
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/decide/storebudget"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/client"
	"github.com/damaskshelf/damaskshelf/internal/objects/conformance"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	standin "github.com/damaskshelf/damaskshelf/internal/standin/objects"
)

func TestMemory(t *testing.T) {
	conformance.Run(t, func(*testing.T) objects.Store { return memory.New() })
}

// startClient starts a stand-in and returns a client of it.
func startClient(t *testing.T) *client.Client {
	server, err := standin.Start("127.0.0.1:0", standin.NewStore(standin.DefaultHistorySize))
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

func TestClientAgainstStandIn(t *testing.T) {
	conformance.Run(t, func(t *testing.T) objects.Store { return retryingStore{startClient(t)} })
}

// The suite's calls stay within the budget of one instance of nine.
func TestBudgetedStoreAgainstStandIn(t *testing.T) {
	conformance.Run(t, func(t *testing.T) objects.Store {
		return retryingStore{client.NewBudgetedStore(startClient(t), storebudget.DefaultLimits, func() int { return 9 })}
	})
}
