// Package query holds the operators' calls that only read: a plan, the status, and the decisions made for a request.
package query

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
)

// Timeouts of reads of the store.
const (
	readTimeout   = 5 * time.Second
	statusTimeout = 500 * time.Millisecond // shorter, since a status is useful without the store too
)

// kindPlan is the kind of the objects that hold plans; it equals command.KindPlan.
const kindPlan = "plans"

// Service handles the calls that only read.
type Service struct {
	Instance     fleet.InstanceID
	Store        objects.Store
	View         func() *fleet.View
	Explain      func(id fleet.RequestID) ([]string, bool)
	CountInForce func(version uint64) (have, of int)
}

// Decisions holds the decision lines kept for one request, oldest first.
type Decisions struct {
	Request string   `json:"request"`
	Lines   []string `json:"lines"`
}

// Plan returns a stored plan with its current state.
func (s *Service) Plan(rc *fasthttp.RequestCtx) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	id := pathID(rc)
	plan, err := s.loadPlan(ctx, id)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, fault.New(fault.NotFound, "no plan %q", id)
	}
	if err != nil {
		return nil, &fault.Error{Kind: fault.StoreUnavailable, Run: fault.RunNo, Detail: "the object API could not be read", Cause: err}
	}
	plan.State = s.planState(plan)
	return plan, nil
}

// planState returns a plan's state as this instance sees it. A confirmation is recorded only in the configuration, which
// names the plan that it comes from.
func (s *Service) planState(p api.Plan) api.PlanState {
	if p.State == api.PlanProposed && s.View().Config.PlanID == p.ID {
		return api.PlanConfirmed
	}
	return p.State
}

// Decisions returns the decision lines of one request that this instance still keeps.
func (s *Service) Decisions(rc *fasthttp.RequestCtx) (any, error) {
	id := pathID(rc)
	if s.Explain != nil {
		if lines, ok := s.Explain(fleet.RequestID(id)); ok {
			return Decisions{Request: id, Lines: lines}, nil
		}
	}
	return nil, fault.New(fault.NotFound, "this instance keeps no decision of request %q; ask the instance that took it", id)
}

// pathID returns the id of a plan or a request from the path.
func pathID(rc *fasthttp.RequestCtx) string {
	id, _ := rc.UserValue("id").(string)
	return id
}

// loadPlan reads a plan from the store.
func (s *Service) loadPlan(ctx context.Context, id string) (api.Plan, error) {
	var p api.Plan
	o, err := s.Store.Get(ctx, objects.Key{Kind: kindPlan, Name: id})
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(o.Value, &p); err != nil {
		return p, fmt.Errorf("decode plan %s: %w", id, err)
	}
	return p, nil
}
