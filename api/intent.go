package api

import (
	"fmt"
	"slices"
)

// Largest values and list lengths that an intent may have.
const (
	maxReplicas        = 1 << 16
	maxPriority        = 10
	maxWorkspaceWeight = 1000
	maxInFlight        = 1 << 24
	maxMemoryTokens    = 1 << 40
	maxWeightGB        = 1 << 20
	maxModels          = 1024
	maxWorkspaces      = 16384
	maxAdapters        = 256
)

// ParseIntent decodes an intent strictly and validates it.
func ParseIntent(data []byte) (Intent, error) {
	var in Intent
	if err := DecodeStrict(data, &in); err != nil {
		return Intent{}, err
	}
	return in, in.Validate()
}

// Validate returns a *FieldError for the first invalid value, with its path from the intent's root. It
// returns nil for a valid intent.
func (in *Intent) Validate() error {
	if n := len(in.Models); n > maxModels {
		return newFieldError("models", fmt.Sprintf("%d entries", n), fmt.Sprintf("at most %d", maxModels))
	}
	if n := len(in.Workspaces); n > maxWorkspaces {
		return newFieldError("workspaces", fmt.Sprintf("%d entries", n), fmt.Sprintf("at most %d", maxWorkspaces))
	}
	seen := make(map[string]int, len(in.Models))
	for i := range in.Models {
		path := fmt.Sprintf("models[%d]", i)
		if err := in.Models[i].validate(path); err != nil {
			return err
		}
		if err := checkUnique(seen, path+".name", in.Models[i].Name, i); err != nil {
			return err
		}
	}
	seen = make(map[string]int, len(in.Workspaces))
	for i := range in.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if err := in.Workspaces[i].validate(path); err != nil {
			return err
		}
		if err := checkUnique(seen, path+".name", in.Workspaces[i].Name, i); err != nil {
			return err
		}
	}
	return nil
}

// checkUnique records in seen that entry i has the name. It returns an error if an earlier entry has that name.
func checkUnique(seen map[string]int, path, name string, i int) error {
	if first, duplicate := seen[name]; duplicate {
		return newFieldError(path, fmt.Sprintf("%q", name), fmt.Sprintf("a name that entry %d does not have already", first))
	}
	seen[name] = i
	return nil
}

// validate returns a *FieldError for the first invalid value; path is the model's path in the intent.
func (m *Model) validate(path string) error {
	if !validName(m.Name) {
		return newFieldError(path+".name", fmt.Sprintf("%q", m.Name), allowedName)
	}
	if !validName(m.Version) {
		return newFieldError(path+".version", fmt.Sprintf("%q", m.Version), allowedName)
	}
	if m.Replicas < 0 || m.Replicas > maxReplicas {
		return newFieldError(path+".replicas", m.Replicas, fmt.Sprintf("0 to %d", maxReplicas))
	}
	if m.Floor < 0 || m.Floor > m.Replicas {
		return newFieldError(path+".floor", m.Floor, fmt.Sprintf("0 to replicas, which is %d", m.Replicas))
	}
	if m.MemoryTokens < 0 || m.MemoryTokens > maxMemoryTokens {
		return newFieldError(path+".memory_tokens", m.MemoryTokens, fmt.Sprintf("0 to %d", int64(maxMemoryTokens)))
	}
	if m.WeightGB < 0 || m.WeightGB > maxWeightGB {
		return newFieldError(path+".weight_gb", m.WeightGB, fmt.Sprintf("0 to %d", maxWeightGB))
	}
	if n := len(m.Adapters); n > maxAdapters {
		return newFieldError(path+".adapters", fmt.Sprintf("%d entries", n), fmt.Sprintf("at most %d", maxAdapters))
	}
	if err := validateNames(path+".adapters", m.Adapters); err != nil {
		return err
	}
	return validateNames(path+".failure_domains", m.Domains)
}

// validateNames checks that each name in a list is valid and occurs once.
func validateNames(path string, names []string) error {
	seen := make(map[string]int, len(names))
	for i, name := range names {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if !validName(name) {
			return newFieldError(itemPath, fmt.Sprintf("%q", name), allowedName)
		}
		if err := checkUnique(seen, itemPath, name, i); err != nil {
			return err
		}
	}
	return nil
}

// validate returns a *FieldError for the first invalid value; path is the workspace's path in the intent.
func (w *Workspace) validate(path string) error {
	if !validName(w.Name) {
		return newFieldError(path+".name", fmt.Sprintf("%q", w.Name), allowedName)
	}
	// A NaN fails this form of the comparison.
	if !(w.Weight >= 0 && w.Weight <= maxWorkspaceWeight) {
		return newFieldError(path+".weight", w.Weight, fmt.Sprintf("0 to %d", maxWorkspaceWeight))
	}
	if w.MaxInFlight < 0 || w.MaxInFlight > maxInFlight {
		return newFieldError(path+".limit", w.MaxInFlight, fmt.Sprintf("0 to %d", maxInFlight))
	}
	if w.Priority < -maxPriority || w.Priority > maxPriority {
		return newFieldError(path+".priority", w.Priority, fmt.Sprintf("%d to %d", -maxPriority, maxPriority))
	}
	return nil
}

// ValidateDomains returns an error if a model names a failure domain that is not in known, which must be
// sorted. It is separate from Validate because the failure domains are known only in a running fleet.
func (in *Intent) ValidateDomains(known []string) error {
	for i, m := range in.Models {
		for j, d := range m.Domains {
			if _, ok := slices.BinarySearch(known, d); !ok {
				path := fmt.Sprintf("models[%d].failure_domains[%d]", i, j)
				return newFieldError(path, fmt.Sprintf("%q", d), fmt.Sprintf("a failure domain of the fleet: %v", known))
			}
		}
	}
	return nil
}

// MinServing returns the number of replicas that must serve at every step of a plan: the floor, but at least
// 1 if the model has replicas.
func (m *Model) MinServing() int {
	if m.Replicas == 0 {
		return 0
	}
	return max(1, m.Floor)
}
