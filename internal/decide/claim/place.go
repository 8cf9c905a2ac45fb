package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the mapping from keys to shard objects. All instances of all versions must use the same mapping:
// two instances that differ look for one key in two objects and run its request twice. The mapping therefore
// never changes for the same ObjectKind.
const (
	ObjectKind = "claims" // kind of the shard objects in the object API
	HashShards = 1024     // number of shards for keys without an issue time
	TimeShards = 16       // number of shards for each BucketSpan of keys with an issue time

	// BucketSpan is the span of issue times whose keys share TimeShards shards. Keys claimed at the same time
	// were issued at about the same time, so their claims share writes. The shards of a bucket whose keys are
	// all too old are deleted as a whole instead of being rewritten.
	BucketSpan = 10 * time.Second
)

// Place returns the name of the shard object that holds a full key.
func Place(fullKey string) string {
	hash := xxhash.Sum64String(fullKey)
	if issued, hasTime := IssueTime(idempotencyKey(fullKey)); hasTime {
		return timeShardName(int64(issued)/BucketSpan.Milliseconds(), int(hash%TimeShards))
	}
	return fmt.Sprintf("h-%04d", hash%HashShards)
}

// timeShardName returns the name of one of the TimeShards shards of a bucket.
func timeShardName(bucket int64, index int) string { return fmt.Sprintf("t-%d-%02d", bucket, index) }

// ExpiredShards returns the names of the time shards that expired between wall-span and wall, so that they can be
// deleted. A shard has expired when every instance refuses all of its keys for their age.
func (l Limits) ExpiredShards(wall WallTime, span time.Duration) []string {
	last := int64(wall.Add(-l.Retention-2*l.MaxSkew))/BucketSpan.Milliseconds() - 1
	first := int64(wall.Add(-l.Retention-2*l.MaxSkew-span)) / BucketSpan.Milliseconds()
	var names []string
	for bucket := first; bucket <= last; bucket++ {
		for index := range TimeShards {
			names = append(names, timeShardName(bucket, index))
		}
	}
	return names
}
