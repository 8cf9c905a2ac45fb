package query

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Status returns the state of the fleet as this instance sees it. While the store is unavailable, it returns what is
// known without the store and notes what is missing.
func (s *Service) Status(rc *fasthttp.RequestCtx) (any, error) {
	view := s.View()
	version := view.ConfigVersion
	if requested := string(rc.QueryArgs().Peek("version")); requested != "" {
		n, err := strconv.ParseUint(requested, 10, 64)
		if err != nil {
			return nil, fault.New(fault.BadRequest, "version: %q is not allowed; allowed: a version number", requested)
		}
		version = n
	}
	status := api.Status{
		Instance: string(s.Instance), ConfigVersion: view.ConfigVersion, ListVersion: view.ListVersion,
		PlanID: view.Config.PlanID, DomainsOut: view.Config.DomainsOut,
		Models: modelStatus(view), Upstreams: countUpstreams(view), Services: serviceStatus(view),
	}
	if s.CountInForce != nil {
		have, of := s.CountInForce(version)
		status.InForce = &api.InForce{Version: version, Applied: have, Instances: of}
	}
	s.addPlanStatus(&status)
	return status, nil
}

// addPlanStatus adds the state and progress of the plan in force, which are read from the store. A failed read adds a
// note.
func (s *Service) addPlanStatus(status *api.Status) {
	if status.PlanID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	plan, err := s.loadPlan(ctx, status.PlanID)
	if err != nil {
		status.Notes = append(status.Notes, fmt.Sprintf("state of plan %s is not known: the object API could not be read", status.PlanID))
		return
	}
	status.PlanState = s.planState(plan)
	if len(plan.Steps) == 0 {
		return
	}
	l, err := s.Store.List(ctx, execute.ObjectKind)
	if err == nil {
		status.Progress, err = execute.Progress(plan, l)
	}
	if err != nil {
		status.Notes = append(status.Notes, fmt.Sprintf("how far plan %s is worked off is not known: %v", status.PlanID, err))
	}
}

// modelStatus returns, for each model of the intent, the number of engines that serve it and accept new work, with the
// numbers that the intent states. It is sorted by name.
func modelStatus(view *fleet.View) []api.ServingStatus {
	var all []api.ServingStatus
	for _, m := range view.Config.Intent.Models {
		row := api.ServingStatus{Name: m.Name, Wanted: m.Replicas, Floor: m.MinServing()}
		row.Serving = countAvailable(view.Engines(m.Name))
		all = append(all, row)
	}
	slices.SortFunc(all, byName)
	return all
}

// serviceStatus returns the number of upstreams that accept new work for each service, sorted by name.
func serviceStatus(view *fleet.View) []api.ServingStatus {
	var all []api.ServingStatus
	for _, u := range view.Upstreams {
		if u.Kind != fleet.Service || slices.ContainsFunc(all, func(r api.ServingStatus) bool { return r.Name == u.Service }) {
			continue
		}
		all = append(all, api.ServingStatus{Name: u.Service, Serving: countAvailable(view.Services(u.Service))})
	}
	slices.SortFunc(all, byName)
	return all
}

func byName(a, b api.ServingStatus) int { return strings.Compare(a.Name, b.Name) }

// countAvailable returns the number of upstreams that accept new work.
func countAvailable(upstreams []*fleet.Upstream) int {
	n := 0
	for _, u := range upstreams {
		if u.AcceptsWork() {
			n++
		}
	}
	return n
}

// countUpstreams counts the upstreams in view by state. A leaving upstream of a drained domain counts as leaving.
func countUpstreams(view *fleet.View) api.UpstreamCounts {
	var c api.UpstreamCounts
	for _, u := range view.Upstreams {
		switch {
		case u.Leaving:
			c.Leaving++
		case u.DomainOut:
			c.Out++
		default:
			c.Live++
		}
	}
	return c
}
