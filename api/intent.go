package api

import (
	"fmt"
	"slices"
)

// Bounds of an intent's values.
const (
	maxReplicas   = 1 << 16
	maxPriority   = 10
	maxWeight     = 1000
	maxInFlight   = 1 << 24
	maxMemory     = 1 << 40
	maxGigabyte   = 1 << 20
	maxModels     = 1024
	maxWorkspaces = 16384
	maxAdapters   = 256
)

// ParseIntent decodes an intent strictly and validates it.
func ParseIntent(data []byte) (Intent, error) {
	var in Intent
	if err := DecodeStrict(data, &in); err != nil {
		return Intent{}, err
	}
	return in, in.Validate()
}

// Validate gives the first bad value as a *FieldError, with its path from the intent's root.
func (in *Intent) Validate() error {
	if n := len(in.Models); n > maxModels {
		return badField("models", fmt.Sprintf("%d entries", n), fmt.Sprintf("at most %d", maxModels))
	}
	if n := len(in.Workspaces); n > maxWorkspaces {
		return badField("workspaces", fmt.Sprintf("%d entries", n), fmt.Sprintf("at most %d", maxWorkspaces))
	}
	seen := make(map[string]int, len(in.Models))
	for i := range in.Models {
		path := fmt.Sprintf("models[%d]", i)
		if err := in.Models[i].validate(path); err != nil {
			return err
		}
		if err := unique(seen, path+".name", in.Models[i].Name, i); err != nil {
			return err
		}
	}
	seen = make(map[string]int, len(in.Workspaces))
	for i := range in.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if err := in.Workspaces[i].validate(path); err != nil {
			return err
		}
		if err := unique(seen, path+".name", in.Workspaces[i].Name, i); err != nil {
			return err
		}
	}
	return nil
}

// unique notes that entry i has the name, and refuses a name that an earlier entry has.
func unique(seen map[string]int, path, name string, i int) error {
	if first, twice := seen[name]; twice {
		return badField(path, fmt.Sprintf("%q", name), fmt.Sprintf("a name that entry %d does not have already", first))
	}
	seen[name] = i
	return nil
}

func (m *Model) validate(path string) error {
	if !validName(m.Name) {
		return badField(path+".name", fmt.Sprintf("%q", m.Name), nameRule)
	}
	if !validName(m.Version) {
		return badField(path+".version", fmt.Sprintf("%q", m.Version), nameRule)
	}
	if m.Replicas < 0 || m.Replicas > maxReplicas {
		return badField(path+".replicas", m.Replicas, fmt.Sprintf("0 to %d", maxReplicas))
	}
	if m.Floor < 0 || m.Floor > m.Replicas {
		return badField(path+".floor", m.Floor, fmt.Sprintf("0 to replicas, which is %d", m.Replicas))
	}
	if m.MemoryTokens < 0 || m.MemoryTokens > maxMemory {
		return badField(path+".memory_tokens", m.MemoryTokens, fmt.Sprintf("0 to %d", int64(maxMemory)))
	}
	if m.WeightGB < 0 || m.WeightGB > maxGigabyte {
		return badField(path+".weight_gb", m.WeightGB, fmt.Sprintf("0 to %d", maxGigabyte))
	}
	if n := len(m.Adapters); n > maxAdapters {
		return badField(path+".adapters", fmt.Sprintf("%d entries", n), fmt.Sprintf("at most %d", maxAdapters))
	}
	if err := validateNames(path+".adapters", m.Adapters); err != nil {
		return err
	}
	return validateNames(path+".failure_domains", m.Domains)
}

// validateNames checks a list of names, each well formed and listed once.
func validateNames(path string, names []string) error {
	seen := make(map[string]int, len(names))
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !validName(name) {
			return badField(at, fmt.Sprintf("%q", name), nameRule)
		}
		if err := unique(seen, at, name, i); err != nil {
			return err
		}
	}
	return nil
}

func (w *Workspace) validate(path string) error {
	if !validName(w.Name) {
		return badField(path+".name", fmt.Sprintf("%q", w.Name), nameRule)
	}
	// The comparison is written so that NaN fails it.
	if !(w.Weight >= 0 && w.Weight <= maxWeight) {
		return badField(path+".weight", w.Weight, fmt.Sprintf("0 to %d", maxWeight))
	}
	if w.MaxInFlight < 0 || w.MaxInFlight > maxInFlight {
		return badField(path+".limit", w.MaxInFlight, fmt.Sprintf("0 to %d", maxInFlight))
	}
	if w.Priority < -maxPriority || w.Priority > maxPriority {
		return badField(path+".priority", w.Priority, fmt.Sprintf("%d to %d", -maxPriority, maxPriority))
	}
	return nil
}

// ValidateDomains refuses a model whose failure domains are not among the known ones, which must be
// sorted. It is apart from Validate because only a running fleet knows them.
func (in *Intent) ValidateDomains(known []string) error {
	for i, m := range in.Models {
		for j, d := range m.Domains {
			if _, ok := slices.BinarySearch(known, d); !ok {
				path := fmt.Sprintf("models[%d].failure_domains[%d]", i, j)
				return badField(path, fmt.Sprintf("%q", d), fmt.Sprintf("a failure domain of the fleet: %v", known))
			}
		}
	}
	return nil
}

// MinServing is the replicas that must serve at every step: the floor, at least one for a model that is
// served at all.
func (m *Model) MinServing() int {
	if m.Replicas == 0 {
		return 0
	}
	return max(1, m.Floor)
}
