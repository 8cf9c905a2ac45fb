// Package api defines the objects that users write and read: settings, intent, configuration, plans and
// status. All are JSON. Users' input is decoded strictly: an unknown field, a wrong type or a value out of
// range is an error that names the field's path, the value and the allowed values.
package api

// Config is the configuration that all instances apply. It is the value of the object config/current, and
// that object's version is the configuration's version.
type Config struct {
	Intent     Intent   `json:"intent"`
	DomainsOut []string `json:"failure_domains_out,omitempty"` // failure domains out of service, sorted
	PlanID     string   `json:"plan,omitempty"`                // plan whose confirmation wrote this version
}

// Intent is the set of models and workspaces that operators want the fleet to serve.
type Intent struct {
	Models     []Model     `json:"models"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Model is one model version to serve.
type Model struct {
	Name         string   `json:"name"`
	Version      string   `json:"version"`
	Adapters     []string `json:"adapters,omitempty"`
	Replicas     int      `json:"replicas"`                  // number of engines that serve it
	Floor        int      `json:"floor,omitempty"`           // least number of replicas that serve at every step of a plan
	Domains      []string `json:"failure_domains,omitempty"` // allowed failure domains; empty: all
	MemoryTokens int64    `json:"memory_tokens,omitempty"`   // engine memory that the weights occupy, in tokens of KV cache
	WeightGB     int64    `json:"weight_gb,omitempty"`       // size of the weights
}

// Workspace holds one workspace's share of the fleet, its limit and its priority.
type Workspace struct {
	Name        string  `json:"name"`
	Weight      float64 `json:"weight,omitempty"`   // share relative to the other workspaces; 0 means 1
	MaxInFlight int     `json:"limit,omitempty"`    // requests in flight in the whole fleet; 0 means no limit
	Priority    int     `json:"priority,omitempty"` // -10 to 10
}
