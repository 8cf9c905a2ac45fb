package api

// Status is the state of the fleet as one instance knows it.
type Status struct {
	Instance      string          `json:"instance"`
	ConfigVersion uint64          `json:"config_version"` // version in force on this instance; 0: none yet
	ListVersion   uint64          `json:"list_version"`   // version of the instance list
	PlanID        string          `json:"plan,omitempty"` // plan whose confirmation wrote the configuration
	PlanState     PlanState       `json:"plan_state,omitempty"`
	Progress      *Progress       `json:"progress,omitempty"`
	DomainsOut    []string        `json:"failure_domains_out,omitempty"` // out of service, sorted
	InForce       *InForce        `json:"in_force,omitempty"`            // instances that have applied a configuration version
	Models        []ServingStatus `json:"models,omitempty"`              // sorted by name
	Upstreams     UpstreamCounts  `json:"upstreams"`
	Services      []ServingStatus `json:"services,omitempty"` // sorted by name
	Notes         []string        `json:"notes,omitempty"`    // what could not be determined, one sentence an entry
}

// InForce counts the instances that have applied a configuration version.
type InForce struct {
	Version   uint64 `json:"version"`
	Applied   int    `json:"have"` // that have applied Version
	Instances int    `json:"of"`   // in all
}

// ServingStatus counts the upstreams that serve a model or a plain service and accept new work.
type ServingStatus struct {
	Name    string `json:"name"`
	Serving int    `json:"serving"`
	Wanted  int    `json:"wanted,omitempty"`
	Floor   int    `json:"floor,omitempty"`
}

// UpstreamCounts counts the upstreams in the instance list.
type UpstreamCounts struct {
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
	Out     int `json:"out"`
}

// Progress measures how far the execution of a confirmed plan has come.
type Progress struct {
	Steps     int `json:"steps"`
	StepsDone int `json:"done"`
	Stage     int `json:"stage"` // in progress, from 1
	Stages    int `json:"stages"`
}
