package api

import (
	"encoding/json"
	"slices"
	"strings"
)

// Target lists the models that engines have loaded at the end of a plan, sorted by upstream. Its JSON form
// groups engines that have the same models loaded: a plan must fit into the one megabyte that the store
// accepts, and in a large fleet most engines have the same models loaded as many others.
type Target []Placement

// targetGroup lists the engines that have the same models loaded.
type targetGroup struct {
	Loaded    []LoadedModel `json:"loaded,omitempty"`
	Upstreams []string      `json:"upstreams"`
}

// MarshalJSON encodes the target as groups, in the order of their first engines.
func (t Target) MarshalJSON() ([]byte, error) {
	var groups []targetGroup
	groupOf := map[string]int{}
	for _, p := range t {
		key, err := json.Marshal(p.Loaded)
		if err != nil {
			return nil, err
		}
		i, found := groupOf[string(key)]
		if !found {
			i = len(groups)
			groupOf[string(key)] = i
			groups = append(groups, targetGroup{Loaded: p.Loaded})
		}
		groups[i].Upstreams = append(groups[i].Upstreams, p.Upstream)
	}
	return json.Marshal(groups)
}

// UnmarshalJSON decodes groups into a target that is sorted by upstream.
func (t *Target) UnmarshalJSON(data []byte) error {
	var groups []targetGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return err
	}
	*t = nil
	for _, g := range groups {
		for _, u := range g.Upstreams {
			*t = append(*t, Placement{Upstream: u, Loaded: g.Loaded})
		}
	}
	slices.SortFunc(*t, func(a, b Placement) int { return strings.Compare(a.Upstream, b.Upstream) })
	return nil
}
