package watch

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/settle"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// joinRetryDelay is the delay after a failed attempt to join.
const joinRetryDelay = 250 * time.Millisecond

// Joined is the result of Join.
type Joined struct {
	Version  uint64 // of the entry; 0: ctx ended first
	Replaced uint64 // earlier incarnation whose entry was replaced; 0: there was none, as after a planned stop
}

// Join writes the entry of this instance to the store and retries until that succeeds or ctx ends. It replaces the
// entry of an earlier incarnation under the same id.
func Join(ctx context.Context, s objects.Store, self catalog.Member, log hclog.Logger) Joined {
	var j Joined
	for {
		version, found, err := putMember(ctx, s, self)
		if found != 0 {
			j.Replaced = found // a write whose answer is lost may have replaced it
		}
		if err == nil {
			log.Info("joined", "instance", self.ID, "incarnation", self.Incarnation, "revision", objects.FormatVersion(version))
			j.Version = version
			return j
		}
		log.Debug("joining failed; retrying", "error", err)
		if !wait.For(ctx, joinRetryDelay) {
			return j
		}
	}
}

// LogFormerLife logs that the incarnation of this instance that ran before ended without a planned stop: its entry was
// still in the store. An incarnation is numbered by the time at which it started.
func LogFormerLife(former uint64, log hclog.Logger) {
	if former != 0 {
		log.Warn("the process before this one ended without a planned stop", "former_incarnation", former,
			"started", time.Unix(0, int64(former)).UTC().Format(time.RFC3339Nano))
	}
}

// memberKey returns the key of an instance's entry.
func memberKey(m *catalog.Member) objects.Key {
	return objects.Key{Kind: KindMembers, Name: string(m.ID)}
}

// putMember writes the entry of this instance once, and returns its version. If another entry exists under the id, it is
// replaced, and its incarnation is returned.
func putMember(ctx context.Context, s objects.Store, self catalog.Member) (version, replaced uint64, err error) {
	value, err := encodeMember(&self)
	if err != nil {
		return 0, 0, fmt.Errorf("encode instance: %w", err)
	}
	w := objects.Write{Key: memberKey(&self), WriteID: memberWriteID(self.ID, self.Incarnation), Value: value}
	version, err = settle.Put(ctx, s, w)
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return version, 0, err
	}
	w.IfVersion = conflict.Current
	version, err = settle.Put(ctx, s, w)
	return version, incarnationOf(conflict.WriteID, self.ID), err
}

// memberWriteID returns the id of the write of an instance's entry.
func memberWriteID(id fleet.InstanceID, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", id, incarnation)
}

// incarnationOf returns the incarnation in the id of a write of an instance's entry, or 0 if there is none.
func incarnationOf(writeID string, id fleet.InstanceID) uint64 {
	text, own := strings.CutPrefix(writeID, string(id)+"/")
	incarnation, err := strconv.ParseUint(text, 10, 64)
	if !own || err != nil {
		return 0 // written by another program
	}
	return incarnation
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
