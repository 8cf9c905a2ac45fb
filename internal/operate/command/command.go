// Package command holds the operators' calls that change something: propose, confirm and stop a plan.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/settle"
)

// Keys of the objects that plans live in.
const (
	KindConfig = "config"
	KindPlan   = "plans"
)

// ConfigKey is the one configuration's object.
var ConfigKey = objects.Key{Kind: KindConfig, Name: "current"}

// PlanKey is a plan's object.
func PlanKey(id string) objects.Key { return objects.Key{Kind: KindPlan, Name: id} }

// callTimeout bounds an operator's call. A lost answer of the store is settled within it.
const callTimeout = 10 * time.Second

// maxObject is the largest value that the object API holds.
const maxObject = 1 << 20

// Service makes the changes.
type Service struct {
	Store      objects.Store
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
	s.Log.Info("plan proposed", "plan", plan.ID, "base_config", plan.Base.ConfigVersion, "steps", len(plan.Steps),
		"forced", plan.Forced)
	return plan, nil
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
	var stop execute.StoppedPlan
	version, err := s.read(ctx, execute.StoppedPlanKey, &stop)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return readFault(err)
	}
	if stop.PlanID == id {
		return nil
	}
	_, err = s.write(ctx, execute.StoppedPlanKey, version, execute.StoppedPlan{PlanID: id})
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
	if errors.Is(err, objects.ErrNotFound) {
		return api.Config{}, 0, nil
	}
	return c, version, readFault(err)
}

func (s *Service) load(ctx context.Context, id string) (api.Plan, uint64, error) {
	var p api.Plan
	version, err := s.read(ctx, PlanKey(id), &p)
	if errors.Is(err, objects.ErrNotFound) {
		return api.Plan{}, 0, fault.New(fault.NotFound, "no plan %q", id)
	}
	return p, version, readFault(err)
}

func (s *Service) read(ctx context.Context, key objects.Key, out any) (uint64, error) {
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
func (s *Service) write(ctx context.Context, key objects.Key, ifVersion uint64, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("encode object %s: %w", key, err)
	}
	if len(data) > maxObject {
		return 0, fault.New(fault.PlanRejected, "%s would take %d bytes, the object API holds %d; change less at once",
			key, len(data), maxObject)
	}
	version, err := settle.Put(ctx, s.Store, objects.Write{
		Key: key, IfVersion: ifVersion, WriteID: s.NewID(), Value: data,
	})
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		return version, nil
	case errors.As(err, &conflict) && !errors.Is(err, settle.ErrUnknown):
		return 0, fault.New(fault.PlanConflict, "object %s was changed meanwhile: version %d was expected, it is at %d",
			key, ifVersion, conflict.Current)
	case errors.Is(err, objects.ErrUnavailable) && !errors.Is(err, settle.ErrUnknown):
		return 0, &fault.Error{Kind: fault.StoreUnavailable, Run: fault.RunNo,
			Detail: "the object API can't be reached; nothing was changed", Cause: err}
	default:
		return 0, &fault.Error{Kind: fault.StoreUnavailable, Run: fault.RunUnknown,
			Detail: "the object API did not answer; ask for the status before trying again", Cause: err}
	}
}
