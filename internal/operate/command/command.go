// Package command holds the operators' calls that change something: they propose, confirm and stop plans.
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

// Kinds of the objects that hold the configuration and the plans.
const (
	KindConfig = "config"
	KindPlan   = "plans"
)

// ConfigKey is the key of the object that holds the configuration in force.
var ConfigKey = objects.Key{Kind: KindConfig, Name: "current"}

// PlanKey returns the key of a plan's object.
func PlanKey(id string) objects.Key { return objects.Key{Kind: KindPlan, Name: id} }

// callTimeout limits an operator's call, including the time to resolve a write whose response from the store was lost.
const callTimeout = 10 * time.Second

// maxObjectBytes is the size of the largest value that the object API accepts.
const maxObjectBytes = 1 << 20

// Service handles the calls that change something.
type Service struct {
	Store      objects.Store
	View       func() *fleet.View
	Log        hclog.Logger
	NewID      func() string
	Upstreams  Prober // nil: models are those of the view, utilization is unknown
	WeightRate int64  // rate of the weight store, gigabytes per hour; 0: unknown
}

// Propose makes a plan for the api.Change in the request's body and stores it. It changes nothing else.
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
	plan, err := s.newPlan(ctx, change)
	if err != nil {
		return nil, err
	}
	if err := s.savePlan(ctx, plan, 0); err != nil {
		return nil, err
	}
	s.Log.Info("plan proposed", "plan", plan.ID, "base_config", plan.Base.ConfigVersion, "steps", len(plan.Steps),
		"forced", plan.Forced)
	return plan, nil
}

// Stop stops a plan and its execution. Steps that are done stay as they are, and a new plan can be made from there.
func (s *Service) Stop(rc *fasthttp.RequestCtx) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	plan, version, err := s.loadPlan(ctx, planID(rc))
	if err != nil {
		return nil, err
	}
	if plan.State != api.PlanStopped {
		plan.State = api.PlanStopped
		if err := s.savePlan(ctx, plan, version); err != nil {
			return nil, err
		}
	}
	// Executors don't read the plan's state but the stop mark, together with the progress. If the mark can't be written
	// now, it is written when the operator repeats the call.
	if err := s.markStopped(ctx, plan.ID); err != nil {
		return nil, err
	}
	s.Log.Info("plan stopped", "plan", plan.ID)
	return plan, nil
}

// markStopped writes the stop mark, the object from which executors read the id of the stopped plan.
func (s *Service) markStopped(ctx context.Context, id string) error {
	var stop execute.StoppedPlan
	version, err := s.readObject(ctx, execute.StoppedPlanKey, &stop)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return readFault(err)
	}
	if stop.PlanID == id {
		return nil
	}
	_, err = s.writeObject(ctx, execute.StoppedPlanKey, version, execute.StoppedPlan{PlanID: id})
	return err
}

// planID returns the plan's id from the path.
func planID(rc *fasthttp.RequestCtx) string {
	id, _ := rc.UserValue("id").(string)
	return id
}

// currentConfig returns the configuration in force and its version. If there is none yet, it returns an empty one with
// version 0.
func (s *Service) currentConfig(ctx context.Context) (api.Config, uint64, error) {
	var c api.Config
	version, err := s.readObject(ctx, ConfigKey, &c)
	if errors.Is(err, objects.ErrNotFound) {
		return api.Config{}, 0, nil
	}
	return c, version, readFault(err)
}

// loadPlan returns a plan and the version of its object.
func (s *Service) loadPlan(ctx context.Context, id string) (api.Plan, uint64, error) {
	var p api.Plan
	version, err := s.readObject(ctx, PlanKey(id), &p)
	if errors.Is(err, objects.ErrNotFound) {
		return api.Plan{}, 0, fault.New(fault.NotFound, "no plan %q", id)
	}
	return p, version, readFault(err)
}

// readObject decodes an object into out and returns its version.
func (s *Service) readObject(ctx context.Context, key objects.Key, out any) (uint64, error) {
	o, err := s.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return o.Version, decodeObject(o, out)
}

// decodeObject decodes an object's JSON value into out. Its error names the object.
func decodeObject(o wire.Object, out any) error {
	if err := json.Unmarshal(o.Value, out); err != nil {
		return fmt.Errorf("decode object %s/%s: %w", o.Kind, o.Name, err)
	}
	return nil
}

// readFault returns the fault for a failed read of the store, before anything was written; nil for a nil error.
func readFault(err error) error {
	if err == nil {
		return nil
	}
	return &fault.Error{Kind: fault.StoreUnavailable, Run: fault.RunNo, Detail: "the object API could not be read", Cause: err}
}

// savePlan writes a plan's object if the object has version ifVersion.
func (s *Service) savePlan(ctx context.Context, plan api.Plan, ifVersion uint64) error {
	_, err := s.writeObject(ctx, PlanKey(plan.ID), ifVersion, plan)
	return err
}

// writeObject writes an object if it has version ifVersion. It returns the new version once the write is known to have
// taken effect. An error with fault.RunUnknown means that the write may have taken effect; with any other, it has not.
func (s *Service) writeObject(ctx context.Context, key objects.Key, ifVersion uint64, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("encode object %s: %w", key, err)
	}
	if len(data) > maxObjectBytes {
		return 0, fault.New(fault.PlanRejected, "%s would take %d bytes, the object API holds %d; change less at once",
			key, len(data), maxObjectBytes)
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
