// Package wire holds the messages, paths and headers of the platform: object API, instance list and
// weight store. docs/PLATFORM.md is the contract in words; the stand-ins and the clients share this.
package wire

import (
	"encoding/json"
	"strconv"
)

// Headers of the object API.
const (
	HeaderIfVersion = "X-If-Version" // the write takes effect only at this version; 0: only if absent
	HeaderWriteID   = "X-Write-Id"   // the writer's id of this write, kept with the object
)

// Paths of the object API and the instance list.
const (
	PathObject    = "/objects/{kind}/{name}"     // GET, PUT, DELETE
	PathObjects   = "/objects/{kind}"            // GET lists; GET ?watch=VERSION&timeout_ms=N waits for newer changes
	PathInstances = "/instances"                 // GET
	PathWeights   = "/weights/{model}/{version}" // POST takes transfer budget; 429 with Retry-After when there is none
)

// Object is one stored object. Versions grow over the whole store, so that a watch names one number.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	WriteID string          `json:"write_id"` // of the write that made this version
	Value   json.RawMessage `json:"value"`
}

// List answers a list or a watch. Version is the store's version that it reflects; Deleted names objects
// that went since the watched version. TooOld: the watched version is no longer kept, list again.
type List struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
	Deleted []string `json:"deleted,omitempty"`
	TooOld  bool     `json:"too_old,omitempty"`
}

// Written answers a write that took effect.
type WriteResult struct {
	Version uint64 `json:"version"`
}

// Conflict answers a conditional write whose version no longer holds (status 409).
type Conflict struct {
	Current uint64 `json:"current"`
	WriteID string `json:"write_id"` // of the current version
}

// Instance kinds and states of the instance list.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one row of the instance list.
type Instance struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Addr          string `json:"addr"`           // IP and port: of callers for an entry, of the API for an upstream
	PeerAddr      string `json:"peer,omitempty"` // entry: IP and port of its peer listener
	Domain        string `json:"failure_domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
	Service       string `json:"service,omitempty"`        // plain service's name
	Fencing       bool   `json:"checks_fencing,omitempty"` // engine: refuses orders with an old fencing number
	KVCacheTokens int64  `json:"memory_tokens,omitempty"`  // engine: KV cache in tokens
}

// InstancesTag is the entity tag of a version of the instance list, for conditional reads.
func InstancesETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// InstanceList answers GET PathInstances. A request whose If-None-Match bears InstancesTag of the version
// that would be sent is answered 304 without a body.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}
