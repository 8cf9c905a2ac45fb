package dispatch

import (
	"github.com/damaskshelf/damaskshelf/internal/decide"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// A direct connection fails because the upstream is dead, because the link between two failure domains is partitioned, or because
// the instance that tried is cut off. The first keeps the upstream from all instances, the second from those of one
// domain. The third must keep it from nobody: a few instances that are cut off from all upstreams would otherwise leave
// the others without any.

// link is the network path from instances in one failure domain to upstreams in another.
type link struct{ from, to fleet.DomainID }

// pathFailure is a failed connection to an upstream.
type pathFailure struct {
	at   decide.Instant
	by   fleet.InstanceID
	dead bool // no other instance reached the upstream either
}

// instancePaths holds the upstreams to which the direct connections of one instance failed since it last got an answer
// over one.
type instancePaths struct {
	failed map[fleet.UpstreamID]decide.Instant // time of the last failure
}

// cutOff reports whether an instance seems to have no path to any upstream: its connections failed to upstreams of
// several failure domains, or to several of one domain that others of its own domain reach since. It may use all of
// them nevertheless, through other instances.
func (s *State) cutOff(now decide.Instant, id fleet.InstanceID, domain fleet.DomainID) bool {
	p := s.instances[id]
	if p == nil {
		return false
	}
	failures, reachedByOthers := 0, false
	var first *engine
	for upstream, at := range p.failed {
		e := s.engines[upstream]
		if e == nil || now.Sub(at) >= unreachableHoldoff {
			continue
		}
		if first == nil {
			first = e
		}
		if e.Domain != first.Domain {
			return true
		}
		failures++
		reachedByOthers = reachedByOthers || s.lastAnswer[link{domain, e.Domain}] > at
	}
	return failures > 1 && reachedByOthers
}

// forgetPathFailures drops the failed connections that don't count any more.
func (s *State) forgetPathFailures(now decide.Instant) {
	for id, p := range s.instances {
		for upstream, at := range p.failed {
			if s.engines[upstream] == nil || now.Sub(at) >= unreachableHoldoff {
				delete(p.failed, upstream)
			}
		}
		if len(p.failed) == 0 {
			delete(s.instances, id)
		}
	}
}

// recordPathFailure records that the job's instance has no direct connection to the upstream; dead means that no other
// instance connected to it either. What an instance reports that is cut off says nothing about the upstreams, and its
// earlier reports don't either.
func (s *State) recordPathFailure(now decide.Instant, j *Job, e *engine, dead bool) {
	p := s.instances[j.Instance]
	if p == nil {
		p = &instancePaths{failed: map[fleet.UpstreamID]decide.Instant{}}
		s.instances[j.Instance] = p
	}
	p.failed[e.ID] = now
	if !s.cutOff(now, j.Instance, j.Domain) {
		e.lastUnreachable[j.Domain] = pathFailure{at: now, by: j.Instance, dead: dead}
		return
	}
	for id := range p.failed {
		if reported := s.engines[id]; reported != nil && reported.lastUnreachable[j.Domain].by == j.Instance {
			delete(reported.lastUnreachable, j.Domain)
		}
	}
}

// seemsDead reports whether instances of several failure domains could not connect to the upstream a short while ago.
func (e *engine) seemsDead(now decide.Instant) bool {
	domains, recent := 0, false
	for _, f := range e.lastUnreachable {
		domains += boolToInt(f.dead)
		recent = recent || (f.dead && now.Sub(f.at) < failureHoldoff)
	}
	return domains > 1 && recent
}

// recordAnswer records that a run began to be answered. If it went through another instance, the upstream is alive, and
// the paths of the run's own instance may still be cut.
func (s *State) recordAnswer(now decide.Instant, r *run) {
	l := link{r.job.Domain, r.engine.Domain}
	if r.indirect {
		s.lastIndirect[l] = now
		if f := r.engine.lastUnreachable[r.job.Domain]; f.dead {
			f.dead = false
			r.engine.lastUnreachable[r.job.Domain] = f
		}
		return
	}
	delete(r.engine.lastUnreachable, r.job.Domain)
	s.lastAnswer[l] = now
	delete(s.instances, r.job.Instance)
}

// WentIndirect records that a run goes to its upstream through another instance, because its own instance's path there
// failed.
func (s *State) WentIndirect(now decide.Instant, id fleet.RequestID) {
	r := s.runs[id]
	if r == nil || r.indirect {
		return
	}
	r.indirect = true
	s.recordPathFailure(now, r.job, r.engine, false)
}

// origin is what determines the upstreams that jobs can reach and the slots there that they may use.
type origin struct {
	domain   fleet.DomainID
	cutOff   bool
	reserved uint8 // as in the jobs' standing
}

// originOf returns the origin of a job.
func (s *State) originOf(now decide.Instant, j *Job) origin {
	return origin{domain: j.Domain, cutOff: s.cutOff(now, j.Instance, j.Domain), reserved: j.standing.reserved}
}

// reaches reports whether the job's instance is expected to be able to use the upstream: directly, or through another
// instance.
//
// A link counts as partitioned only by connection failures since the last answer over it. Upstreams of all domains
// that exit at the same time are unreachable from everywhere, and without this condition all links to their domains
// would count as partitioned and leave no upstream to use.
func (s *State) reaches(now decide.Instant, j *Job, e *engine) bool {
	l := link{j.Domain, e.Domain}
	dead := e.lastUnreachable[j.Domain].dead && e != s.probeEngine
	partitioned := s.unreachableCounts[l] >= partitionThreshold && !s.probeLinks[l]
	return !dead && !partitioned || s.cutOff(now, j.Instance, j.Domain)
}

// connects reports whether engines of a domain are expected to be able to connect to another engine. They do so without
// other instances.
func (s *State) connects(domain fleet.DomainID, e *engine) bool {
	if _, failed := e.lastUnreachable[domain]; failed && e != s.probeEngine {
		return false
	}
	l := link{domain, e.Domain}
	return s.pathFailures[l] < partitionThreshold || s.probeLinks[l]
}
