package api

// FleetStatus is what the metadata store says of a fleet that forwards routed requests.
type FleetStatus struct {
	ConfigVersion  uint64          `json:"config_version"` // the newest; 0: none yet
	ConfigRevision uint64          `json:"config_revision"`
	FleetRevision  uint64          `json:"fleet_revision"` // of the store, as of which this was read
	Instances      []FleetInstance `json:"instances"`      // in the order in which they are dispatchers
	Services       []FleetService  `json:"services"`       // sorted by name
	DomainsOut     []string        `json:"failure_domains_out,omitempty"`
}

// FleetInstance is an entry instance that has joined.
type FleetInstance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	PeerAddr      string `json:"peer_addr"`
	Incarnation   uint64 `json:"incarnation"`
}

// FleetService counts a service's upstreams.
type FleetService struct {
	Name    string `json:"name"`
	Ready   int    `json:"ready"` // may get new work, cold ones included
	Cold    int    `json:"cold"`
	Leaving int    `json:"leaving"`
	Out     int    `json:"out"` // in a failure domain that is taken out
}
