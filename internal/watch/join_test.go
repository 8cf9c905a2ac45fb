package watch_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/memory"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// lossyStore makes the first replacing write fail after it took effect, if lose is set.
type lossyStore struct {
	objects.Store
	lose bool
}

// Put implements objects.Store.
func (s *lossyStore) Put(ctx context.Context, w objects.Write) (uint64, error) {
	version, err := s.Store.Put(ctx, w)
	if s.lose && err == nil {
		s.lose = false
		return 0, errors.New("answer was lost")
	}
	return version, err
}

// Guards against a start that doesn't tell how the life before it ended: a killed process leaves its entry in the store,
// a planned stop removes it.
func TestStartTellsWhetherFormerLifeLeft(t *testing.T) {
	for _, c := range []struct {
		name         string
		leaves, lose bool
		said         bool
	}{
		{name: "killed", said: true},
		{name: "killed, and an answer of the store is lost", lose: true, said: true},
		{name: "planned stop", leaves: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := &lossyStore{Store: memory.New()}
			first := catalog.Member{ID: "entry/1", Addr: "127.0.0.1:1", Incarnation: 1796354567615468704}
			is.Equal(watch.Join(t.Context(), store, first, hclog.NewNullLogger()).Replaced, uint64(0))
			if c.leaves {
				is.NoErr(watch.Leave(t.Context(), store, first))
			}
			store.lose = c.lose
			next := first
			next.Incarnation++
			var out bytes.Buffer
			log := hclog.New(&hclog.LoggerOptions{Output: &out})
			watch.LogFormerLife(watch.Join(t.Context(), store, next, log).Replaced, log)
			is.Equal(strings.Contains(out.String(), "[WARN]  the process before this one ended without a planned stop: "+
				"former_incarnation=1796354567615468704 started=2026-12-04T03:22:47.615468704Z"), c.said)
		})
	}
}
