// Package wire declares the messages, paths and headers of the platform's object API, instance list and weight store.
// docs/PLATFORM.md describes the contract. The stand-ins and the clients share this package.
package wire

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Headers of the object API.
const (
	HeaderIfVersion = "X-If-Version" // the write takes effect only if the object has this version; 0: only if it doesn't exist
	HeaderWriteID   = "X-Write-Id"   // the writer's id of this write, stored with the object
)

// Paths of the object API and the instance list.
const (
	PathObject    = "/objects/{kind}/{name}"     // GET, PUT, DELETE
	PathObjects   = "/objects/{kind}"            // GET lists; GET ?watch=VERSION&timeout_ms=N waits for changes after VERSION
	PathInstances = "/instances"                 // GET
	PathWeights   = "/weights/{model}/{version}" // POST takes transfer budget; 429 with Retry-After if there is none
)

// Object is one stored object. Versions increase over all objects of the store, so that one number is enough for a watch.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	WriteID string          `json:"write_id"` // of the write that resulted in this version
	Value   json.RawMessage `json:"value"`
}

// List is the response to a list or a watch. Version is the version of the store that it reflects. Deleted has the names
// of the objects that were deleted since the watched version. TooOld reports that the changes since the watched version
// are no longer kept: the client lists again.
type List struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
	Deleted []string `json:"deleted,omitempty"`
	TooOld  bool     `json:"too_old,omitempty"`
}

// WriteResult is the response to a write that took effect.
type WriteResult struct {
	Version uint64 `json:"version"`
}

// Conflict is the response to a conditional write if the object has another version (status 409).
type Conflict struct {
	Current uint64 `json:"current"`
	WriteID string `json:"write_id"` // of the current version
}

// Kinds and states of the entries of the instance list.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Addr          string `json:"addr"`           // IP and port: of an entry's listener for callers, or of an upstream's API
	PeerAddr      string `json:"peer,omitempty"` // entry: IP and port of its peer listener
	Domain        string `json:"failure_domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
	Service       string `json:"service,omitempty"`        // name of the plain service
	Fencing       bool   `json:"checks_fencing,omitempty"` // engine: it refuses orders with an old fencing number
	KVCacheTokens int64  `json:"memory_tokens,omitempty"`  // engine: KV cache in tokens
}

// InstancesETag returns the entity tag of a version of the instance list, for conditional reads.
func InstancesETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// InstanceList is the response to GET PathInstances. If the request's If-None-Match header has the InstancesETag of the
// current version, the response is 304 without a body.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
	LeftOut   []error    `json:"-"` // why entries couldn't be decoded
}

// UnmarshalJSON implements json.Unmarshaler. It leaves out entries that can't be decoded, so that they don't hide the others.
func (l *InstanceList) UnmarshalJSON(data []byte) error {
	var raw struct {
		Version   uint64            `json:"version"`
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	*l = InstanceList{Version: raw.Version}
	for n, entry := range raw.Instances {
		var i Instance
		if err := json.Unmarshal(entry, &i); err != nil {
			l.LeftOut = append(l.LeftOut, fmt.Errorf("entry %d of the instance list: %w", n, err))
			continue
		}
		l.Instances = append(l.Instances, i)
	}
	return nil
}
