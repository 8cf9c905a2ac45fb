package command

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// Confirm puts a plan's configuration in force if nothing has changed since it was made.
//
// Promise: an accepted configuration is in force and two operators can't overwrite each other. Carried by
// the conditional update of config/current at the version the plan was made from; "accepted" is answered
// only after that write is known to have taken effect.
func (s *Service) Confirm(rc *fasthttp.RequestCtx) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := planID(rc)
	plan, _, err := s.load(ctx, id)
	if err != nil {
		return nil, err
	}
	current, currentVersion, err := s.config(ctx)
	if err != nil {
		return nil, err
	}
	if current.PlanID == id {
		return api.Confirmation{PlanID: id, ConfigVersion: currentVersion}, nil
	}
	if err := s.holds(ctx, plan, current, currentVersion); err != nil {
		return nil, err
	}
	made, err := s.write(ctx, ConfigKey, plan.Base.ConfigVersion, plan.After)
	if err != nil {
		made, err = s.outcome(ctx, plan, err)
	}
	if err != nil {
		return nil, err
	}
	s.Log.Info("plan confirmed", "plan", id, "config_version", made)
	s.forget(ctx, current.PlanID)
	return api.Confirmation{PlanID: id, ConfigVersion: made}, nil
}

// outcome finds out what became of a write of the configuration that was refused, or whose answer was
// lost before another operator's write came on top. The plan in force names what it was made from, and so
// which writes came before it.
func (s *Service) outcome(ctx context.Context, plan api.Plan, err error) (uint64, error) {
	current, version, readErr := s.config(ctx)
	if readErr != nil || current.PlanID == "" {
		return 0, err
	}
	next, _, readErr := s.load(ctx, current.PlanID)
	switch {
	case readErr != nil:
		return 0, err
	case next.Base.PlanID == plan.ID:
		return next.Base.ConfigVersion, nil // ours took effect, and this one after it
	case next.Base.ConfigVersion == plan.Base.ConfigVersion || fault.Is(err, fault.PlanConflict):
		return 0, conflict(plan, current, version) // one write on that version, and it was not ours
	default:
		return 0, err
	}
}

// forget deletes the plan that came before the one that has just been superseded, so that plans don't
// pile up. The superseded one stays: instances that lag behind still work by it. A failure leaves an
// object behind and nothing else.
func (s *Service) forget(ctx context.Context, superseded string) {
	if superseded == "" {
		return
	}
	last, _, err := s.load(ctx, superseded)
	if err != nil || last.Base.PlanID == "" {
		return
	}
	key := PlanKey(last.Base.PlanID)
	o, err := s.Store.Get(ctx, key)
	if err == nil {
		err = s.Store.Delete(ctx, key, o.Version)
	}
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		s.Log.Warn("old plan not deleted", "plan", last.Base.PlanID, "error", err)
	}
}

// holds tells whether a plan may still be confirmed: the configuration is the one it was made from, and
// the engines are such that the same steps come out. A forced plan asks only for the first.
func (s *Service) holds(ctx context.Context, p api.Plan, current api.Config, version uint64) error {
	if p.State == api.PlanStopped {
		return fault.New(fault.PlanConflict, "plan %s was stopped; make a new one from here", p.ID)
	}
	if version != p.Base.ConfigVersion {
		return conflict(p, current, version)
	}
	if p.Change.Force {
		return nil
	}
	again := api.Plan{ID: p.ID, Change: p.Change, After: p.After}
	if err := s.fill(ctx, &again, current, s.View()); err != nil {
		return err
	}
	if !slices.Equal(p.Steps, again.Steps) {
		return fault.New(fault.PlanConflict, "engines have changed since plan %s was made: %s; make a new plan",
			p.ID, difference(p.Steps, again.Steps))
	}
	return nil
}

// difference says in words which steps differ.
func difference(before, now []api.Step) string {
	var lines []string
	for _, s := range before {
		if !slices.Contains(now, s) {
			lines = append(lines, "no longer "+describe(s))
		}
	}
	for _, s := range now {
		if !slices.Contains(before, s) {
			lines = append(lines, "now "+describe(s))
		}
	}
	if len(lines) > shownSteps {
		lines = append(lines[:shownSteps], fmt.Sprintf("and %d more", len(lines)-shownSteps))
	}
	return strings.Join(lines, ", ")
}

// shownSteps bounds the steps that a conflict names.
const shownSteps = 6

func describe(s api.Step) string {
	return fmt.Sprintf("%s %s@%s on %s in stage %d", s.Kind, s.Model, s.Version, s.Upstream, s.Stage)
}

// conflict shows what differs between the configuration a plan was made from and the current one.
func conflict(plan api.Plan, current api.Config, version uint64) error {
	return fault.New(fault.PlanConflict,
		"plan %s was made from configuration version %d, version %d is in force now, made by plan %q with failure domains out %v; make a new plan",
		plan.ID, plan.Base.ConfigVersion, version, current.PlanID, current.DomainsOut)
}
