package command

import (
	"context"
	"fmt"
	"slices"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Engines gives what each engine of the fleet has loaded now.
type Engines func(ctx context.Context, v *fleet.View) ([]api.Placement, error)

// make works out the plan of a change from the current configuration.
func (s *Service) make(ctx context.Context, change api.Change) (api.Plan, error) {
	current, version, err := s.config(ctx)
	if err != nil {
		return api.Plan{}, err
	}
	view := s.View()
	if err := validate(change, current, view); err != nil {
		return api.Plan{}, fault.New(fault.BadRequest, "%v", err)
	}
	plan := api.Plan{
		ID: s.NewID(), State: api.PlanProposed, Change: change, Base: api.Base{Config: version},
		After: apply(change, current),
	}
	plan.After.Plan = plan.ID
	plan.Summary = summary(change, current)
	return plan, nil
}

// validate checks a change against the fleet as it is.
func validate(change api.Change, current api.Config, view *fleet.View) error {
	domains := knownDomains(view)
	if change.Intent != nil {
		return change.Intent.ValidateDomains(domains)
	}
	out := slices.Contains(current.DomainsOut, change.Drain+change.Restore)
	switch {
	case change.Drain != "" && out:
		return fmt.Errorf("failure domain %s is out already", change.Drain)
	case change.Restore != "" && !out:
		return fmt.Errorf("failure domain %s is not out", change.Restore)
	case change.Drain != "" && !slices.Contains(domains, change.Drain):
		return fmt.Errorf("failure domain %q is not known; known: %v", change.Drain, domains)
	}
	return nil
}

// knownDomains lists the failure domains that the view shows, sorted.
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

// apply gives the configuration after a change.
func apply(change api.Change, current api.Config) api.Config {
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

// summary says in words what a change does to the configuration.
func summary(change api.Change, current api.Config) []string {
	switch {
	case change.Drain != "":
		return []string{fmt.Sprintf("failure domain %s is taken out: no new work goes there", change.Drain)}
	case change.Restore != "":
		return []string{fmt.Sprintf("failure domain %s comes back; its upstreams count as cold", change.Restore)}
	}
	return compare(current.Intent, *change.Intent)
}

// compare says in words how one intent differs from another.
func compare(before, after api.Intent) []string {
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
