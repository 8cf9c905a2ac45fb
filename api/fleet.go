package api

// FleetStatus is the state of a fleet that forwards routed requests, as read from the metadata store.
type FleetStatus struct {
	ConfigVersion  uint64          `json:"config_version"`                // the newest version; 0: none yet
	ConfigRevision uint64          `json:"config_revision"`               // store revision that holds ConfigVersion
	FleetRevision  uint64          `json:"fleet_revision"`                // store revision of the remaining fields
	Instances      []FleetInstance `json:"instances"`                     // in dispatcher order
	Services       []FleetService  `json:"services"`                      // sorted by name
	DomainsOut     []string        `json:"failure_domains_out,omitempty"` // failure domains out of service, sorted
}

// FleetInstance is an instance that has joined the fleet.
type FleetInstance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	PeerAddr      string `json:"peer_addr"`
	Incarnation   uint64 `json:"incarnation"`
}

// FleetService counts the upstreams of a service by state. Each upstream counts as one of Ready, Leaving and
// Out; those that are still cold count in Cold as well.
type FleetService struct {
	Name    string `json:"name"`
	Ready   int    `json:"ready"` // may receive new work, including cold ones
	Cold    int    `json:"cold"`
	Leaving int    `json:"leaving"`
	Out     int    `json:"out"` // not leaving, in a failure domain that is out of service
}
