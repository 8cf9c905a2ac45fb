package placement

import (
	"math"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/gateway"
	pb "github.com/damaskshelf/damaskshelf/internal/placement/placementpb"
)

// askMessage converts a placement request that is sent at now. The durations of a count from the instant asked, and are
// converted to count from now.
func askMessage(a *gateway.PlacementRequest, asked, now time.Time) *pb.Ask {
	since := now.Sub(asked)
	m := &pb.Ask{
		Id: string(a.ID), Service: string(a.Service), Workspace: string(a.Workspace),
		Priority: toInt32(int64(a.Priority)), Prompt: toInt32(int64(a.PromptTokens)), Output: toInt32(int64(a.MaxOutputTokens)),
		WaitedMs: (a.Waited + since).Milliseconds(), PatienceMs: (a.FirstEventTimeout - since).Milliseconds(),
		DeadlineMs: (a.TimeLeft - since).Milliseconds(), MaxGapMs: toInt32(a.MaxGap.Milliseconds()), Attempt: toInt32(int64(a.Attempt)), Resumed: a.Resumed, Keys: keyNumbers(a.Keys),
	}
	if a.HasTarget {
		m.Aimed, m.AimMs = true, (a.TargetLeft - since).Milliseconds()
	}
	for _, id := range a.Avoid {
		m.Avoid = append(m.Avoid, string(id))
	}
	return m
}

// toInt32 returns n, limited to the range of an int32. A larger figure of a configuration would otherwise become any other,
// for example a negative one.
func toInt32(n int64) int32 { return int32(min(max(n, math.MinInt32), math.MaxInt32)) }

// maxDuration is the longest duration that is taken from a message; longer ones are reduced to it. Instants that are so far
// from each other do not overflow.
const maxDuration = 10 * 365 * 24 * time.Hour

// ms returns a duration of n milliseconds, limited to the range from -maxDuration to maxDuration.
func ms(n int64) time.Duration {
	const limit = int64(maxDuration / time.Millisecond)
	return time.Duration(min(max(n, -limit), limit)) * time.Millisecond
}

// newJob converts a placement request that arrived from an instance at now. The caller sets the job's Domain. No request
// arrives later than now: load that counted from then would never decay.
func newJob(m *pb.Ask, instance fleet.InstanceID, now decide.Instant) *dispatch.Job {
	j := &dispatch.Job{
		ID: jobID(instance, m.Id), Request: fleet.RequestID(m.Id), Instance: instance, Workspace: fleet.WorkspaceID(m.Workspace),
		Priority: int(m.Priority), PromptTokens: int(m.Prompt), MaxOutputTokens: int(m.Output), Arrived: now.Add(-max(0, ms(m.WaitedMs))),
		FirstEventDeadline: now.Add(ms(m.PatienceMs)), Deadline: now.Add(ms(m.DeadlineMs)),
		MaxGap: ms(int64(m.MaxGapMs)), Attempt: int(m.Attempt), Resumed: m.Resumed, Avoid: upstreamIDs(m.Avoid), Keys: decodeKeys(m.Keys),
	}
	if m.Aimed {
		j.FirstEventTarget = now.Add(ms(m.AimMs))
	}
	return j
}

// jobID returns the dispatcher's id of an instance's request. Callers choose the ids of requests, so that instances may use the
// same one at the same time.
func jobID(instance fleet.InstanceID, request string) fleet.RequestID {
	return fleet.RequestID(string(instance) + "/" + request)
}

// upstreamIDs converts strings of a message to upstream IDs.
func upstreamIDs(all []string) []fleet.UpstreamID { return decodeIDs[fleet.UpstreamID](all) }

// decodeIDs converts strings of a message to IDs.
func decodeIDs[T ~string](all []string) []T {
	out := make([]T, len(all))
	for i, id := range all {
		out[i] = T(id)
	}
	return out
}

// idStrings converts IDs to strings for a message.
func idStrings[T ~string](all []T) []string {
	out := make([]string, len(all))
	for i, id := range all {
		out[i] = string(id)
	}
	return out
}

// dispatchModel returns the performance model of a service's engines, or nil for a plain service.
func dispatchModel(s *catalog.Service) *dispatch.Model {
	e := s.Engine
	if e == nil || e.PrefillTokensPerMs <= 0 {
		return nil
	}
	memory := e.KVCacheTokens
	if memory <= 0 {
		memory = math.MaxInt32 // not configured
	}
	return &dispatch.Model{
		Slots: max(1, e.Slots), KVCacheTokens: memory, StepsPerPass: e.StepsPerPass, StepMs: e.StepMs, PerDecodeMs: e.PerDecodeMs,
		Per1000ContextMs: e.Per1000ContextMs, PrefillTokensPerMs: e.PrefillTokensPerMs, MsPerMillionPairs: e.MsPerMillionPairs, ChunkTokens: e.ChunkTokens,
	}
}
