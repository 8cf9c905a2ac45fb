// Package query holds the operators' calls that only read: a plan, the status, and why a request was
// decided as it was.
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

// readTimeout bounds the read of a plan; status waits less, since it answers without the store too.
const (
	readTimeout   = 5 * time.Second
	statusTimeout = 500 * time.Millisecond
)

const kindPlan = "plans"

// Service answers the reads.
type Service struct {
	Instance     fleet.InstanceID
	Store        objects.Store
	View         func() *fleet.View
	Explain      func(id fleet.RequestID) ([]string, bool)
	CountInForce func(version uint64) (have, of int)
}

// Decisions is the answer to explain: the decision lines kept for one request, oldest first.
type Decisions struct {
	Request string   `json:"request"`
	Lines   []string `json:"lines"`
}

// Plan gives a plan as it is kept.
func (s *Service) Plan(rc *fasthttp.RequestCtx) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	id := pathID(rc)
	plan, err := s.plan(ctx, id)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, fault.New(fault.NotFound, "no plan %q", id)
	}
	if err != nil {
		return nil, &fault.Error{Kind: fault.StoreUnavailable, Run: fault.RunNo, Detail: "the object API could not be read", Cause: err}
	}
	plan.State = s.state(plan)
	return plan, nil
}

// state gives a plan's state as seen from here: the configuration in force names the plan that made it,
// and nothing else records a confirmation.
func (s *Service) state(p api.Plan) api.PlanState {
	if p.State == api.PlanProposed && s.View().Config.PlanID == p.ID {
		return api.PlanConfirmed
	}
	return p.State
}

// Decisions gives the decision lines of one request that this instance still keeps.
func (s *Service) Decisions(rc *fasthttp.RequestCtx) (any, error) {
	id := pathID(rc)
	if s.Explain != nil {
		if lines, ok := s.Explain(fleet.RequestID(id)); ok {
			return Decisions{Request: id, Lines: lines}, nil
		}
	}
	return nil, fault.New(fault.NotFound, "this instance keeps no decision of request %q; ask the instance that took it", id)
}

func pathID(rc *fasthttp.RequestCtx) string {
	id, _ := rc.UserValue("id").(string)
	return id
}

func (s *Service) plan(ctx context.Context, id string) (api.Plan, error) {
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
