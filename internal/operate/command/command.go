// Package command holds the operators' calls that change something: propose, confirm and stop a plan.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/platform"
	"github.com/damaskshelf/damaskshelf/internal/platform/wire"
	"github.com/damaskshelf/damaskshelf/internal/settle"
)

// Keys of the objects that plans live in.
const (
	KindConfig = "config"
	KindPlan   = "plans"
)

// ConfigKey is the one configuration's object.
var ConfigKey = platform.Key{Kind: KindConfig, Name: "current"}

// PlanKey is a plan's object.
func PlanKey(id string) platform.Key { return platform.Key{Kind: KindPlan, Name: id} }

// callTimeout bounds an operator's call. A lost answer of the store is settled within it.
const callTimeout = 10 * time.Second

// Service makes the changes.
type Service struct {
	Store      platform.Store
	View       func() *fleet.View
	Log        hclog.Logger
	NewID      func() string
	Upstreams  Prober // nil: what the view shows is taken
	WeightRate int64  // weight store's, in gigabytes an hour; 0: not known
}

// Propose makes a plan from an api.Change and keeps it; nothing else changes.
func (s *Service) Propose(rc *fasthttp.RequestCtx) (any, error) {
	var change api.Change
	if err := api.DecodeStrict(rc.PostBody(), &change); err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	if err := change.Validate(); err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	plan, err := s.make(ctx, change)
	if err != nil {
		return nil, err
	}
	if err := s.keep(ctx, plan, 0); err != nil {
		return nil, err
	}
	s.Log.Info("plan proposed", "plan", plan.ID, "base_config", plan.Base.Config, "steps", len(plan.Steps),
		"forced", plan.Forced)
	return plan, nil
}

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
	if current.Plan == id {
		return api.Confirmed{Plan: id, Version: currentVersion}, nil
	}
	if err := s.holds(ctx, plan, current, currentVersion); err != nil {
		return nil, err
	}
	made, err := s.write(ctx, ConfigKey, plan.Base.Config, plan.After)
	if err != nil {
		return nil, s.lost(ctx, plan, err)
	}
	s.Log.Info("plan confirmed", "plan", id, "config_version", made)
	return api.Confirmed{Plan: id, Version: made}, nil
}

// holds tells whether a plan may still be confirmed: the configuration is the one it was made from, and
// the engines are such that the same steps come out. A forced plan asks only for the first.
func (s *Service) holds(ctx context.Context, p api.Plan, current api.Config, version uint64) error {
	if p.State == api.PlanStopped {
		return fault.New(fault.PlanConflict, "plan %s was stopped; make a new one from here", p.ID)
	}
	if version != p.Base.Config {
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

// lost turns a failed write of the configuration into the operator's answer.
func (s *Service) lost(ctx context.Context, plan api.Plan, err error) error {
	if !fault.Is(err, fault.PlanConflict) {
		return err
	}
	current, version, readErr := s.config(ctx)
	if readErr != nil {
		return err
	}
	return conflict(plan, current, version)
}

// conflict shows what differs between the configuration a plan was made from and the current one.
func conflict(plan api.Plan, current api.Config, version uint64) error {
	return fault.New(fault.PlanConflict,
		"plan %s was made from configuration version %d, version %d is in force now, made by plan %q with failure domains out %v; make a new plan",
		plan.ID, plan.Base.Config, version, current.Plan, current.DomainsOut)
}

// Stop ends the working off of a plan where it stands. A new plan can be made from there.
func (s *Service) Stop(rc *fasthttp.RequestCtx) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	plan, version, err := s.load(ctx, planID(rc))
	if err != nil {
		return nil, err
	}
	if plan.State != api.PlanStopped {
		plan.State = api.PlanStopped
		if err := s.keep(ctx, plan, version); err != nil {
			return nil, err
		}
	}
	// Executors look at the mark with the progress, not at the plan; an operator's repeat mends a mark
	// that could not be written.
	if err := s.mark(ctx, plan.ID); err != nil {
		return nil, err
	}
	s.Log.Info("plan stopped", "plan", plan.ID)
	return plan, nil
}

// mark names the stopped plan to the executors.
func (s *Service) mark(ctx context.Context, id string) error {
	var stop execute.Stop
	version, err := s.read(ctx, execute.StopKey, &stop)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return readFault(err)
	}
	if stop.Plan == id {
		return nil
	}
	_, err = s.write(ctx, execute.StopKey, version, execute.Stop{Plan: id})
	return err
}

func planID(rc *fasthttp.RequestCtx) string {
	id, _ := rc.UserValue("id").(string)
	return id
}

// config gives the configuration and its version; version 0 with an empty one where there is none.
func (s *Service) config(ctx context.Context) (api.Config, uint64, error) {
	var c api.Config
	version, err := s.read(ctx, ConfigKey, &c)
	if errors.Is(err, platform.ErrNotFound) {
		return api.Config{}, 0, nil
	}
	return c, version, readFault(err)
}

func (s *Service) load(ctx context.Context, id string) (api.Plan, uint64, error) {
	var p api.Plan
	version, err := s.read(ctx, PlanKey(id), &p)
	if errors.Is(err, platform.ErrNotFound) {
		return api.Plan{}, 0, fault.New(fault.NotFound, "no plan %q", id)
	}
	return p, version, readFault(err)
}

func (s *Service) read(ctx context.Context, key platform.Key, out any) (uint64, error) {
	o, err := s.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return o.Version, decodeObject(o, out)
}

func decodeObject(o wire.Object, out any) error {
	if err := json.Unmarshal(o.Value, out); err != nil {
		return fmt.Errorf("decode object %s/%s: %w", o.Kind, o.Name, err)
	}
	return nil
}

// readFault is the answer to a read of the store that failed before anything was written.
func readFault(err error) error {
	if err == nil {
		return nil
	}
	return &fault.Error{Kind: fault.StoreUnavailable, Run: fault.RunNo, Detail: "the object API could not be read", Cause: err}
}

// keep writes a plan's object.
func (s *Service) keep(ctx context.Context, plan api.Plan, ifVersion uint64) error {
	_, err := s.write(ctx, PlanKey(plan.ID), ifVersion, plan)
	return err
}

// write makes a conditional write and gives its version once it is known to have taken effect.
func (s *Service) write(ctx context.Context, key platform.Key, ifVersion uint64, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("encode object %s: %w", key, err)
	}
	version, err := settle.Put(ctx, s.Store, platform.Write{
		Key: key, IfVersion: ifVersion, WriteID: s.NewID(), Value: data,
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return version, nil
	case errors.As(err, &conflict) && !errors.Is(err, settle.ErrUnknown):
		return 0, fault.New(fault.PlanConflict, "object %s was changed meanwhile: version %d was expected, it is at %d",
			key, ifVersion, conflict.Current)
	case errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, settle.ErrUnknown):
		return 0, &fault.Error{Kind: fault.StoreUnavailable, Run: fault.RunNo,
			Detail: "the object API can't be reached; nothing was changed", Cause: err}
	default:
		return 0, &fault.Error{Kind: fault.StoreUnavailable, Run: fault.RunUnknown,
			Detail: "the object API did not answer; ask for the status before trying again", Cause: err}
	}
}
