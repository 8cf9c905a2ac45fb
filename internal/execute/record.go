package execute

import (
	"encoding/json"
	"fmt"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/rendezvous"
)

// Kind is the kind of the executor's objects: a lease and progress object for each shard, and the mark of
// a stopped plan. One list call shows them all.
const ObjectKind = "execution"

// Shards is the number of parts that the engines are cut into. It bounds the leases and the progress
// writes of a plan whatever the fleet's size, and must be the same on all instances.
const ShardCount = 64

// Record is the value of a shard's object: who holds its lease and how far the shard is.
type ShardRecord struct {
	Holder        string `json:"holder"` // instance and incarnation; empty: free
	PlanID        string `json:"plan,omitempty"`
	DoneStage     int    `json:"stage,omitempty"` // of the plan, done and verified; one more than its stages when all is done
	ConfigVersion uint64 `json:"config"`          // configuration version under which the lease was taken
}

// Stop is the value of the object that names the stopped plan.
type StoppedPlan struct {
	PlanID string `json:"plan"`
}

// StopKey names the mark of a stopped plan.
var StoppedPlanKey = objects.Key{Kind: ObjectKind, Name: "stop"}

const stopName = "stop"

func shardName(n int) string { return fmt.Sprintf("shard-%02d", n) }

// ShardOf gives the shard that an engine belongs to.
func ShardOf(engine string) int { return int(rendezvous.Score(ObjectKind, engine) % ShardCount) }

// records are all of the executor's objects as one list call showed them.
type records struct {
	shards   map[int]ShardRecord
	versions map[int]uint64
	stopped  string // plan
}

func decodeRecords(l wire.List) (records, error) {
	r := records{shards: map[int]ShardRecord{}, versions: map[int]uint64{}}
	for _, o := range l.Objects {
		if o.Name == stopName {
			var s StoppedPlan
			if err := json.Unmarshal(o.Value, &s); err != nil {
				return records{}, fmt.Errorf("decode stop mark: %w", err)
			}
			r.stopped = s.PlanID
			continue
		}
		var n int
		if _, err := fmt.Sscanf(o.Name, "shard-%d", &n); err != nil {
			return records{}, fmt.Errorf("object %s/%s is not the executor's: %w", ObjectKind, o.Name, err)
		}
		var rec ShardRecord
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			return records{}, fmt.Errorf("decode %s: %w", o.Name, err)
		}
		r.shards[n], r.versions[n] = rec, o.Version
	}
	return r, nil
}
