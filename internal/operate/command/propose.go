package command

import (
	"context"
	"fmt"
	"slices"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/drain"
	"github.com/damaskshelf/damaskshelf/internal/decide/plan"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// newPlan returns a plan for a change, computed from the current configuration and from the models that engines have
// loaded.
func (s *Service) newPlan(ctx context.Context, change api.Change) (api.Plan, error) {
	current, version, err := s.currentConfig(ctx)
	if err != nil {
		return api.Plan{}, err
	}
	view := s.View()
	if err := validateChange(change, current, view); err != nil {
		return api.Plan{}, fault.New(fault.BadRequest, "%v", err)
	}
	p := api.Plan{
		ID: s.NewID(), State: api.PlanProposed, Change: change, Base: api.Base{ConfigVersion: version, PlanID: current.PlanID},
		After: applyChange(change, current),
	}
	p.After.PlanID = p.ID
	p.Change.Intent = nil
	return p, s.computeEffects(ctx, &p, current, view)
}

// computeEffects adds the steps, the cost, a summary and the impact on callers to a plan. It returns an error if the
// plan is rejected.
func (s *Service) computeEffects(ctx context.Context, p *api.Plan, current api.Config, view *fleet.View) error {
	probes := s.survey(ctx, view, current.Intent)
	if p.ChangesIntent() {
		p.Summary = describeIntentChange(current.Intent, p.After.Intent)
	} else if err := s.assessDomain(p, probes); err != nil {
		return err
	}
	if p.ChangesIntent() || len(p.After.Intent.Models) > 0 {
		if err := s.planPlacement(p, current, probes); err != nil {
			return err
		}
	}
	for _, probe := range probes {
		if probe.unreachable {
			p.Impact = append(p.Impact, fmt.Sprintf("engine %s did not answer; it is taken as last seen", probe.upstream.ID))
		}
	}
	return nil
}

// assessDomain assesses the drain or restoration of a failure domain. It adds the result to p, or returns an error if
// the change is rejected.
func (s *Service) assessDomain(p *api.Plan, probes []probeResult) error {
	change := p.Change
	r := drain.Assess(drain.Input{
		Domain: change.Drain + change.Restore, Restore: change.Restore != "",
		Groups: drainGroups(probes, p.After), Force: change.Force,
	})
	s.Log.Info("failure domain judged", "plan", p.ID, "failure_domain", change.Drain+change.Restore, "reason", string(r.Reason))
	if r.Rejected != "" {
		return fault.New(fault.PlanRejected, "%s; force it to accept that", r.Rejected)
	}
	p.Summary = r.Summary
	p.Impact = r.Impact
	p.Forced = r.Reason == drain.ForcedNothingLeft
	return nil
}

// planPlacement adds the steps that bring the engines to the plan's intent. It returns an error if the plan is rejected.
// It is not called while no intent has ever been stated: the engines then keep the models that they were deployed with.
func (s *Service) planPlacement(p *api.Plan, current api.Config, probes []probeResult) error {
	r := plan.Make(plan.Input{
		Before: current.Intent, After: p.After.Intent, Engines: planEngines(probes, p.After),
		WeightRate: s.WeightRate, Force: p.Change.Force,
	})
	s.Log.Info("placement planned", "plan", p.ID, "reason", string(r.Reason), "steps", len(r.Steps))
	if r.Rejected != "" {
		return fault.New(fault.PlanRejected, "%s; force it to accept that", r.Rejected)
	}
	p.Steps, p.Target, p.Floors, p.Cost = r.Steps, r.Target, r.Floors, r.Cost
	p.Summary = append(p.Summary, r.Summary...)
	p.Impact = append(p.Impact, r.Impact...)
	p.Forced = p.Forced || r.Reason == plan.ForcedBelowFloor
	return nil
}

// validateChange returns an error if the current fleet and configuration don't allow a change.
func validateChange(change api.Change, current api.Config, view *fleet.View) error {
	domains := knownDomains(view)
	if change.Intent != nil {
		return change.Intent.ValidateDomains(domains)
	}
	drained := slices.Contains(current.DomainsOut, change.Drain+change.Restore)
	switch {
	case change.Drain != "" && drained:
		return fmt.Errorf("failure domain %s is out already", change.Drain)
	case change.Restore != "" && !drained:
		return fmt.Errorf("failure domain %s is not out", change.Restore)
	case change.Drain != "" && !slices.Contains(domains, change.Drain):
		return fmt.Errorf("failure domain %q is not known; known: %v", change.Drain, domains)
	}
	return nil
}

// knownDomains returns the failure domains of all upstreams and instances in view, sorted.
func knownDomains(view *fleet.View) []string {
	var domains []string
	for _, u := range view.Upstreams {
		domains = append(domains, string(u.Domain))
	}
	for _, i := range view.Instances {
		domains = append(domains, string(i.Domain))
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// applyChange returns the configuration after a change. The plan's id is not set.
func applyChange(change api.Change, current api.Config) api.Config {
	after := api.Config{Intent: current.Intent, DomainsOut: slices.Clone(current.DomainsOut)}
	switch {
	case change.Intent != nil:
		after.Intent = *change.Intent
	case change.Drain != "":
		after.DomainsOut = append(after.DomainsOut, change.Drain)
		slices.Sort(after.DomainsOut)
	default:
		after.DomainsOut = slices.DeleteFunc(after.DomainsOut, func(d string) bool { return d == change.Restore })
	}
	return after
}

// describeIntentChange describes how one intent differs from another, one difference a line.
func describeIntentChange(before, after api.Intent) []string {
	var lines []string
	for _, m := range after.Models {
		i := slices.IndexFunc(before.Models, func(b api.Model) bool { return b.Name == m.Name })
		if i < 0 {
			lines = append(lines, fmt.Sprintf("model %s: new, version %s, %d replicas", m.Name, m.Version, m.Replicas))
			continue
		}
		b := before.Models[i]
		if b.Version != m.Version {
			lines = append(lines, fmt.Sprintf("model %s: version %s becomes %s", m.Name, b.Version, m.Version))
		}
		if b.Replicas != m.Replicas {
			lines = append(lines, fmt.Sprintf("model %s: %d replicas become %d", m.Name, b.Replicas, m.Replicas))
		}
		if b.MinServing() != m.MinServing() {
			lines = append(lines, fmt.Sprintf("model %s: floor %d becomes %d", m.Name, b.MinServing(), m.MinServing()))
		}
	}
	for _, b := range before.Models {
		if !slices.ContainsFunc(after.Models, func(m api.Model) bool { return m.Name == b.Name }) {
			lines = append(lines, fmt.Sprintf("model %s: no longer served", b.Name))
		}
	}
	if !slices.Equal(before.Workspaces, after.Workspaces) {
		lines = append(lines, fmt.Sprintf("workspaces: %d entries become %d", len(before.Workspaces), len(after.Workspaces)))
	}
	if len(lines) == 0 {
		lines = append(lines, "nothing changes")
	}
	return lines
}
