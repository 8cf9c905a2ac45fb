package node

import (
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/entry/again"
	"github.com/damaskshelf/damaskshelf/internal/keeper"
)

// newRetrier returns the retrier. Its budgets are this instance's share; the number of instances is that of k's view.
func newRetrier(k *keeper.Keeper) *again.Retrier {
	return again.New(retry.DefaultParams(), func() int { return len(k.View().Instances) })
}
