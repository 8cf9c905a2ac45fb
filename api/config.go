// Package api holds the objects that users write and read: settings, intent, configuration, plans and
// status. All are JSON, decoded strictly: an unknown field, a wrong type or a value out of range is an
// error that names the field's path, the value and what is allowed.
package api

// Config is the one chain of configuration that is in force everywhere. It is the value of the object
// config/current; the object's version is the configuration's version.
type Config struct {
	Intent     Intent   `json:"intent"`
	DomainsOut []string `json:"failure_domains_out,omitempty"` // sorted
	PlanID     string   `json:"plan,omitempty"`                // plan whose confirmation made this version
}

// Intent is what operators want the fleet to serve.
type Intent struct {
	Models     []Model     `json:"models"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Model is one model version to be served.
type Model struct {
	Name         string   `json:"name"`
	Version      string   `json:"version"`
	Adapters     []string `json:"adapters,omitempty"`
	Replicas     int      `json:"replicas"`                  // engines that serve it
	Floor        int      `json:"floor,omitempty"`           // replicas that must serve at every step of a plan
	Domains      []string `json:"failure_domains,omitempty"` // allowed failure domains; empty: all
	MemoryTokens int64    `json:"memory_tokens,omitempty"`   // engine memory that its weights take, in tokens
	WeightGB     int64    `json:"weight_gb,omitempty"`       // size of its weights
}

// Workspace is one workspace's share of the fleet.
type Workspace struct {
	Name        string  `json:"name"`
	Weight      float64 `json:"weight,omitempty"`   // share against the others; 0: 1
	MaxInFlight int     `json:"limit,omitempty"`    // requests at once over the whole fleet; 0: none
	Priority    int     `json:"priority,omitempty"` // -10 to 10
}
