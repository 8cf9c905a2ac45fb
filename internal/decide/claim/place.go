package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The placing of keys in shard objects. Every instance of every version has to agree on it: two that don't
// would look for one key in two places and run it twice. It is never changed under the same Kind.
const (
	ObjectKind = "claims" // of the shard objects
	HashShards = 1024     // for keys without a time
	TimeShards = 16       // for each Bucket of keys that carry their time

	// Bucket is the span of issue times whose keys share shards. Keys that are claimed together were
	// issued at about the same time and so share writes; a bucket that is too old to be asked for is
	// deleted whole instead of being rewritten.
	BucketSpan = 10 * time.Second
)

// Place names the shard object of a full key.
func Place(fullKey string) string {
	hash := xxhash.Sum64String(fullKey)
	if issued, timed := IssueTime(idempotencyKey(fullKey)); timed {
		return timeShard(int64(issued)/BucketSpan.Milliseconds(), int(hash%TimeShards))
	}
	return fmt.Sprintf("h-%04d", hash%HashShards)
}

func timeShard(bucket int64, group int) string { return fmt.Sprintf("t-%d-%02d", bucket, group) }

// Dead names the time shards that no instance asks for any more at wall and that were still asked for a
// span earlier: they can be deleted.
func (l Limits) ExpiredShards(wall WallTime, span time.Duration) []string {
	last := int64(wall.Add(-l.Retention-2*l.MaxSkew))/BucketSpan.Milliseconds() - 1
	first := int64(wall.Add(-l.Retention-2*l.MaxSkew-span)) / BucketSpan.Milliseconds()
	var names []string
	for bucket := first; bucket <= last; bucket++ {
		for group := range TimeShards {
			names = append(names, timeShard(bucket, group))
		}
	}
	return names
}
