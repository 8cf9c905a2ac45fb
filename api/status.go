package api

// Status is what one instance knows of the fleet.
type Status struct {
	Instance      string          `json:"instance"`
	ConfigVersion uint64          `json:"config_version"` // in force on this instance; 0: none yet
	ListVersion   uint64          `json:"list_version"`
	PlanID        string          `json:"plan,omitempty"` // whose confirmation made the configuration
	PlanState     PlanState       `json:"plan_state,omitempty"`
	Progress      *Progress       `json:"progress,omitempty"`
	DomainsOut    []string        `json:"failure_domains_out,omitempty"`
	InForce       *InForce        `json:"in_force,omitempty"` // of ConfigVersion over the fleet
	Models        []ServingStatus `json:"models,omitempty"`   // sorted by name
	Upstreams     UpstreamCounts  `json:"upstreams"`
	Services      []ServingStatus `json:"services,omitempty"` // sorted by name
	Notes         []string        `json:"notes,omitempty"`    // what the answer could not find out
}

// InForce tells how many instances have a configuration version in force.
type InForce struct {
	Version   uint64 `json:"version"`
	Applied   int    `json:"have"`
	Instances int    `json:"of"`
}

// Serving is how many upstreams serve a model or plain service and take new work.
type ServingStatus struct {
	Name    string `json:"name"`
	Serving int    `json:"serving"`
	Wanted  int    `json:"wanted,omitempty"`
	Floor   int    `json:"floor,omitempty"`
}

// Upstreams counts the upstreams that the instance list shows.
type UpstreamCounts struct {
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
	Out     int `json:"out"`
}

// Progress is how far a confirmed plan has been worked off.
type Progress struct {
	Steps     int `json:"steps"`
	StepsDone int `json:"done"`
	Stage     int `json:"stage"` // being worked off, from 1
	Stages    int `json:"stages"`
}
