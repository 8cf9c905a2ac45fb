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

// Confirm puts a plan's configuration in force if nothing has changed since the plan was made.
//
// Guarantees: an accepted configuration is in force, and two operators can't overwrite each other. The configuration is
// written on the condition that config/current still has the version that the plan was made from, and success is
// returned only after that write is known to have taken effect.
func (s *Service) Confirm(rc *fasthttp.RequestCtx) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id := planID(rc)
	plan, _, err := s.loadPlan(ctx, id)
	if err != nil {
		return nil, err
	}
	current, currentVersion, err := s.currentConfig(ctx)
	if err != nil {
		return nil, err
	}
	if current.PlanID == id {
		return api.Confirmation{PlanID: id, ConfigVersion: currentVersion}, nil
	}
	if err := s.checkStillValid(ctx, plan, current, currentVersion); err != nil {
		return nil, err
	}
	newVersion, err := s.writeObject(ctx, ConfigKey, plan.Base.ConfigVersion, plan.After)
	if err != nil {
		newVersion, err = s.resolveWrite(ctx, plan, err)
	}
	if err != nil {
		return nil, err
	}
	s.Log.Info("plan confirmed", "plan", id, "config_version", newVersion)
	s.deletePredecessor(ctx, current.PlanID)
	return api.Confirmation{PlanID: id, ConfigVersion: newVersion}, nil
}

// resolveWrite finds out whether a write of the configuration took effect. The write was refused, or its response was
// lost and another operator's write followed. The plan in force names the plan and the version that it was made from,
// and so which write preceded it. resolveWrite returns the version written by the plan, or an error.
func (s *Service) resolveWrite(ctx context.Context, plan api.Plan, err error) (uint64, error) {
	current, version, readErr := s.currentConfig(ctx)
	if readErr != nil || current.PlanID == "" {
		return 0, err
	}
	planInForce, _, readErr := s.loadPlan(ctx, current.PlanID)
	switch {
	case readErr != nil:
		return 0, err
	case planInForce.Base.PlanID == plan.ID:
		return planInForce.Base.ConfigVersion, nil // the plan's write took effect, and the other one followed
	case planInForce.Base.ConfigVersion == plan.Base.ConfigVersion || fault.Is(err, fault.PlanConflict):
		return 0, conflictError(plan, current, version) // the write was refused, or another one replaced that version
	default:
		return 0, err
	}
}

// deletePredecessor deletes the plan that the superseded plan replaced, so that old plans don't accumulate in the store.
// The superseded plan itself stays, since instances that lag behind still use it. A failure is only logged: it leaves an
// object that is no longer needed.
func (s *Service) deletePredecessor(ctx context.Context, superseded string) {
	if superseded == "" {
		return
	}
	supersededPlan, _, err := s.loadPlan(ctx, superseded)
	if err != nil || supersededPlan.Base.PlanID == "" {
		return
	}
	key := PlanKey(supersededPlan.Base.PlanID)
	o, err := s.Store.Get(ctx, key)
	if err == nil {
		err = s.Store.Delete(ctx, key, o.Version)
	}
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		s.Log.Warn("old plan not deleted", "plan", supersededPlan.Base.PlanID, "error", err)
	}
}

// checkStillValid returns nil if a plan may still be confirmed, or the reason why not. The configuration must be the one
// that the plan was made from, and the current state of the engines must lead to the same steps. The steps of a forced
// plan are not checked.
func (s *Service) checkStillValid(ctx context.Context, p api.Plan, current api.Config, version uint64) error {
	if p.State == api.PlanStopped {
		return fault.New(fault.PlanConflict, "plan %s was stopped; make a new one from here", p.ID)
	}
	if version != p.Base.ConfigVersion {
		return conflictError(p, current, version)
	}
	if p.Change.Force {
		return nil
	}
	recomputed := api.Plan{ID: p.ID, Change: p.Change, After: p.After}
	if err := s.computeEffects(ctx, &recomputed, current, s.View()); err != nil {
		return err
	}
	if !slices.Equal(p.Steps, recomputed.Steps) {
		return fault.New(fault.PlanConflict, "engines have changed since plan %s was made: %s; make a new plan",
			p.ID, describeDifference(p.Steps, recomputed.Steps))
	}
	return nil
}

// describeDifference describes which steps were dropped and which were added, in at most maxShownSteps phrases.
func describeDifference(before, now []api.Step) string {
	var lines []string
	for _, s := range before {
		if !slices.Contains(now, s) {
			lines = append(lines, "no longer "+describeStep(s))
		}
	}
	for _, s := range now {
		if !slices.Contains(before, s) {
			lines = append(lines, "now "+describeStep(s))
		}
	}
	if len(lines) > maxShownSteps {
		lines = append(lines[:maxShownSteps], fmt.Sprintf("and %d more", len(lines)-maxShownSteps))
	}
	return strings.Join(lines, ", ")
}

// maxShownSteps is the largest number of steps that a conflict names.
const maxShownSteps = 6

// describeStep describes a step as a conflict names it: action, model, version, upstream and stage.
func describeStep(s api.Step) string {
	return fmt.Sprintf("%s %s@%s on %s in stage %d", s.Kind, s.Model, s.Version, s.Upstream, s.Stage)
}

// conflictError returns the fault for a plan whose base configuration is no longer the current one. It describes both.
func conflictError(plan api.Plan, current api.Config, version uint64) error {
	return fault.New(fault.PlanConflict,
		"plan %s was made from configuration version %d, version %d is in force now, made by plan %q with failure domains out %v; make a new plan",
		plan.ID, plan.Base.ConfigVersion, version, current.PlanID, current.DomainsOut)
}
