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

// Status tells what this instance knows. It answers while the store is down, and says then what it
// could not find out.
func (s *Service) Status(rc *fasthttp.RequestCtx) (any, error) {
	view := s.View()
	version := view.ConfigVersion
	if asked := string(rc.QueryArgs().Peek("version")); asked != "" {
		n, err := strconv.ParseUint(asked, 10, 64)
		if err != nil {
			return nil, fault.New(fault.BadRequest, "version: %q is not allowed; allowed: a version number", asked)
		}
		version = n
	}
	status := api.Status{
		Instance: string(s.Instance), ConfigVersion: view.ConfigVersion, ListVersion: view.ListVersion,
		PlanID: view.Config.PlanID, DomainsOut: view.Config.DomainsOut,
		Models: models(view), Upstreams: count(view), Services: services(view),
	}
	if s.CountInForce != nil {
		have, of := s.CountInForce(version)
		status.InForce = &api.InForce{Version: version, Applied: have, Instances: of}
	}
	s.addPlan(&status)
	return status, nil
}

// addPlan adds what only the store knows.
func (s *Service) addPlan(status *api.Status) {
	if status.PlanID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	plan, err := s.plan(ctx, status.PlanID)
	if err != nil {
		status.Notes = append(status.Notes, fmt.Sprintf("state of plan %s is not known: the object API could not be read", status.PlanID))
		return
	}
	status.PlanState = s.state(plan)
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

// models counts the engines that serve each model of the intent and take new work.
func models(view *fleet.View) []api.ServingStatus {
	var all []api.ServingStatus
	for _, m := range view.Config.Intent.Models {
		row := api.ServingStatus{Name: m.Name, Wanted: m.Replicas, Floor: m.MinServing()}
		row.Serving = taking(view.Engines(m.Name))
		all = append(all, row)
	}
	slices.SortFunc(all, byName)
	return all
}

func services(view *fleet.View) []api.ServingStatus {
	var all []api.ServingStatus
	for _, u := range view.Upstreams {
		if u.Kind != fleet.Service || slices.ContainsFunc(all, func(r api.ServingStatus) bool { return r.Name == u.Service }) {
			continue
		}
		all = append(all, api.ServingStatus{Name: u.Service, Serving: taking(view.Services(u.Service))})
	}
	slices.SortFunc(all, byName)
	return all
}

func byName(a, b api.ServingStatus) int { return strings.Compare(a.Name, b.Name) }

func taking(upstreams []*fleet.Upstream) int {
	n := 0
	for _, u := range upstreams {
		if u.AcceptsWork() {
			n++
		}
	}
	return n
}

func count(view *fleet.View) api.UpstreamCounts {
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
