package api

import (
	"encoding/json"
	"slices"
	"strings"
)

// Target is what engines have loaded at the end of a plan, sorted by upstream. Most engines of a large
// fleet have the same as many others, and a plan has to fit the store's megabyte: in JSON, engines that
// have the same stand in one group.
type Target []Placement

// targetGroup is the engines that have the same loaded.
type targetGroup struct {
	Loaded    []LoadedModel `json:"loaded,omitempty"`
	Upstreams []string      `json:"upstreams"`
}

// MarshalJSON writes groups, in the order of their first engines.
func (t Target) MarshalJSON() ([]byte, error) {
	var groups []targetGroup
	at := map[string]int{}
	for _, p := range t {
		key, err := json.Marshal(p.Loaded)
		if err != nil {
			return nil, err
		}
		i, known := at[string(key)]
		if !known {
			i = len(groups)
			at[string(key)] = i
			groups = append(groups, targetGroup{Loaded: p.Loaded})
		}
		groups[i].Upstreams = append(groups[i].Upstreams, p.Upstream)
	}
	return json.Marshal(groups)
}

// UnmarshalJSON reads groups.
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
