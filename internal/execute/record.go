package execute

import (
	"encoding/json"
	"fmt"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// ObjectKind is the kind of the executor's objects: for each shard one object with its lease and progress, and one
// object that names the stopped plan. One list call returns them all.
const ObjectKind = "execution"

// ShardCount is the number of shards that the engines are divided into. It limits the number of leases and of progress
// writes of a plan at any size of the fleet. It must be the same on all instances.
const ShardCount = 64

// ShardRecord is the value of a shard's object: the holder of its lease and the shard's progress.
type ShardRecord struct {
	Holder string `json:"holder"` // instance and incarnation; empty: the lease is free
	PlanID string `json:"plan,omitempty"`
	// DoneStage is the last stage of the plan that is done and verified. It is the plan's number of stages plus one when
	// the verification of the whole target is done too.
	DoneStage     int    `json:"stage,omitempty"`
	ConfigVersion uint64 `json:"config"` // configuration version under which the lease was acquired
}

// StoppedPlan is the value of the object that names the stopped plan.
type StoppedPlan struct {
	PlanID string `json:"plan"`
}

// StoppedPlanKey is the key of the object that names the stopped plan.
var StoppedPlanKey = objects.Key{Kind: ObjectKind, Name: "stop"}

// stoppedPlanName is the name in StoppedPlanKey.
const stoppedPlanName = "stop"

// shardName returns the name of the object of shard n.
func shardName(n int) string { return fmt.Sprintf("shard-%02d", n) }

// ShardOf returns the number of the shard that an engine belongs to.
func ShardOf(engine string) int { return int(rendezvous.Score(ObjectKind, engine) % ShardCount) }

// records holds all of the executor's objects, as one list call returned them.
type records struct {
	shards      map[int]ShardRecord // by shard
	versions    map[int]uint64      // by shard: version of its object
	stoppedPlan string              // plan id; empty: none
}

// decodeRecords decodes a list of the objects of ObjectKind.
func decodeRecords(l wire.List) (records, error) {
	r := records{shards: map[int]ShardRecord{}, versions: map[int]uint64{}}
	for _, o := range l.Objects {
		if o.Name == stoppedPlanName {
			var s StoppedPlan
			if err := json.Unmarshal(o.Value, &s); err != nil {
				return records{}, fmt.Errorf("decode stopped plan: %w", err)
			}
			r.stoppedPlan = s.PlanID
			continue
		}
		var n int
		if _, err := fmt.Sscanf(o.Name, "shard-%d", &n); err != nil {
			return records{}, fmt.Errorf("object %s/%s has an unexpected name: %w", ObjectKind, o.Name, err)
		}
		var rec ShardRecord
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			return records{}, fmt.Errorf("decode %s: %w", o.Name, err)
		}
		r.shards[n], r.versions[n] = rec, o.Version
	}
	return r, nil
}
