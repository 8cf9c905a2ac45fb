package tunnel

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// newMembers returns n instances of a failure domain.
func newMembers(domain fleet.DomainID, n int) []*catalog.Member {
	var all []*catalog.Member
	for i := range n {
		all = append(all, &catalog.Member{ID: fleet.InstanceID(fmt.Sprint(domain, i)), Domain: domain})
	}
	return all
}

// Guards against an instance that finds no other one to connect through because its whole failure domain is cut off: it
// asks instances of other domains as well, and remembers which of them failed.
func TestInstancesOfOtherDomainsAreAsked(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	members := append(newMembers("a", 300), newMembers("b", 300)...)
	c := newChooser()
	domains := map[fleet.DomainID]int{}
	for _, m := range c.choose(now, members, "a") {
		domains[m.Domain]++
		c.failed(now, m.ID)
	}
	is.Equal(domains, map[fleet.DomainID]int{"a": 2, "b": 2})
	for _, m := range c.choose(now, members, "a") {
		is.True(c.records[m.ID] == nil) // not those that failed
	}
}

// Instances that connected lately come first and share the work, also with some that are untried.
func TestWorkingInstancesShareTunnels(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	members := newMembers("a", 8)
	c := newChooser()
	first := map[fleet.InstanceID]int{}
	for range 400 {
		m := c.choose(now, members, "a")[0]
		first[m.ID]++
		c.opened(now, m.ID)
	}
	is.True(len(first) >= wantedInstances)
	for id, n := range first {
		is.True(n < 400/wantedInstances+40) // an instance has more than its part
		is.Equal(c.records[id].open, n)
	}
}

// Records of instances that were replaced are dropped, unless they have an open tunnel.
func TestRecordsOfGoneInstancesAreDropped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newChooser()
	c.opened(now, "in use")
	for i := range 10 {
		c.failed(now, fleet.InstanceID(fmt.Sprint("gone-", i)))
	}
	c.choose(now, newMembers("a", 2), "a")
	is.Equal(len(c.records), 1)
	is.True(c.records["in use"] != nil)
}
