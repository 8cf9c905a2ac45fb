package watch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/settle"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// joinRetryDelay is the delay after a failed attempt to join.
const joinRetryDelay = 250 * time.Millisecond

// Join writes the entry of this instance to the store and retries until that succeeds or ctx ends. It replaces the
// entry of an earlier incarnation under the same id.
func Join(ctx context.Context, s objects.Store, self catalog.Member, log hclog.Logger) {
	for {
		err := putMember(ctx, s, self)
		if err == nil {
			log.Info("joined", "instance", self.ID, "incarnation", self.Incarnation)
			return
		}
		log.Debug("joining failed; retrying", "error", err)
		if !wait.For(ctx, joinRetryDelay) {
			return
		}
	}
}

// memberKey returns the key of an instance's entry.
func memberKey(m *catalog.Member) objects.Key {
	return objects.Key{Kind: KindMembers, Name: string(m.ID)}
}

// putMember writes the entry of this instance once. If another entry exists under the id, it is replaced.
func putMember(ctx context.Context, s objects.Store, self catalog.Member) error {
	value, err := encodeMember(&self)
	if err != nil {
		return fmt.Errorf("encode instance: %w", err)
	}
	w := objects.Write{Key: memberKey(&self), WriteID: fmt.Sprintf("%s/%d", self.ID, self.Incarnation), Value: value}
	_, err = settle.Put(ctx, s, w)
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	w.IfVersion = conflict.Current
	_, err = settle.Put(ctx, s, w)
	return err
}

// Leave deletes the entry of this instance if it still belongs to this incarnation.
func Leave(ctx context.Context, s objects.Store, self catalog.Member) error {
	o, err := s.Get(ctx, memberKey(&self))
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	m, err := decodeMember(o)
	if err != nil || m.Incarnation != self.Incarnation {
		return err
	}
	return s.Delete(ctx, memberKey(&self), o.Version)
}

// Remove deletes the entry of an instance if it hasn't changed since m was read.
func Remove(ctx context.Context, s objects.Store, m *catalog.Member) error {
	err := s.Delete(ctx, memberKey(m), m.Revision)
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}
