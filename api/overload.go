package api

import (
	"fmt"
	"maps"
	"slices"
)

// Values of Overload.Admission.
const (
	// AdmissionPatience lets a late request wait for a part of its caller's patience.
	AdmissionPatience = "patience"
	// AdmissionForecast refuses a request as soon as the forecast has no room for it.
	AdmissionForecast = "forecast"
)

// Overload holds the settings of the dispatcher for a service whose engines are asked for more than they can do. All
// instances must have the same: any of them may be the dispatcher.
type Overload struct {
	Admission string `json:"admission,omitempty"` // AdmissionPatience or AdmissionForecast; empty: AdmissionPatience
	// Workspaces holds the shares by workspace. One that is not listed has the default values.
	Workspaces map[string]WorkspaceShare `json:"workspaces,omitempty"`
}

// WorkspaceShare is a workspace's share of the engines under contention.
type WorkspaceShare struct {
	Weight   *float64 `json:"weight,omitempty"`    // relative to that of others, above 0 and at most 1,000; nil: 1
	MaxShare *float64 `json:"max_share,omitempty"` // share of each resource that it may use, above 0 and at most 1; nil: 1
}

// validate returns a *FieldError for the first invalid value, workspaces in the order of their names.
func (o *Overload) validate() error {
	switch o.Admission {
	case "", AdmissionPatience, AdmissionForecast:
	default:
		return newFieldError("routed.overload.admission", fmt.Sprintf("%q", o.Admission), AdmissionPatience+" or "+AdmissionForecast)
	}
	for _, name := range slices.Sorted(maps.Keys(o.Workspaces)) {
		w := o.Workspaces[name]
		path := "routed.overload.workspaces." + name
		if name == "" {
			return newFieldError("routed.overload.workspaces", `""`, "names of workspaces")
		}
		if v := w.Weight; v != nil && !(*v > 0 && *v <= maxWorkspaceWeight) {
			return newFieldError(path+".weight", *v, fmt.Sprintf("above 0 and at most %d", maxWorkspaceWeight))
		}
		if v := w.MaxShare; v != nil && !(*v > 0 && *v <= 1) {
			return newFieldError(path+".max_share", *v, "above 0 and at most 1")
		}
	}
	return nil
}
