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

// joinPause is the pause after a failed attempt to join.
const joinPause = 250 * time.Millisecond

// Join keeps trying to write self among the instances until it stands there or ctx ends. An entry of an
// earlier incarnation under the same id is replaced.
func Join(ctx context.Context, s objects.Store, self catalog.Member, log hclog.Logger) {
	for {
		err := put(ctx, s, self)
		if err == nil {
			log.Info("joined", "instance", self.ID, "incarnation", self.Incarnation)
			return
		}
		log.Debug("not joined yet", "error", err)
		if !wait.For(ctx, joinPause) {
			return
		}
	}
}

func memberKey(m *catalog.Member) objects.Key {
	return objects.Key{Kind: KindMembers, Name: string(m.ID)}
}

func put(ctx context.Context, s objects.Store, self catalog.Member) error {
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

// Leave removes self from the instances if the entry is still its own.
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

// Remove removes an instance's entry if it is still the one at that revision.
func Remove(ctx context.Context, s objects.Store, m *catalog.Member) error {
	err := s.Delete(ctx, memberKey(m), m.Revision)
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}
