package node

import (
	"github.com/damaskshelf/damaskshelf/internal/decide/retry"
	"github.com/damaskshelf/damaskshelf/internal/entry/again"
)

func newRetrier() *again.Retrier { return again.New(retry.DefaultParams()) }
