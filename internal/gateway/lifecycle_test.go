package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// Guards against a send to an upstream that is no longer usable, or from an instance that was paused, because the
// grant is based on an older snapshot. Nothing is sent if the newest snapshot shows that the upstream is leaving, is
// gone, belongs to another service or is in a failure domain that is out, whatever the dispatcher's state is.
func TestGrantIsCheckedAgainstNewestSnapshot(t *testing.T) {
	upstream := func(change func(*catalog.Upstream)) *catalog.Snapshot {
		u := &catalog.Upstream{ID: "u", Service: "s", Domain: "north"}
		change(u)
		return catalog.NewSnapshot(nil, []*catalog.Upstream{u}, nil, nil, 1)
	}
	unchanged := upstream(func(*catalog.Upstream) {})
	for name, c := range map[string]struct {
		snapshot *catalog.Snapshot
		paused   bool
		heldOff  bool
		deadline time.Duration
		usable   bool
		canSend  bool
	}{
		"usable":                   {snapshot: unchanged, deadline: time.Second, usable: true, canSend: true},
		"leaving":                  {snapshot: upstream(func(u *catalog.Upstream) { u.Leaving = true }), deadline: time.Second, canSend: true},
		"serves another service":   {snapshot: upstream(func(u *catalog.Upstream) { u.Service = "other" }), deadline: time.Second, canSend: true},
		"gone":                     {snapshot: catalog.NewSnapshot(nil, nil, nil, nil, 1), deadline: time.Second, canSend: true},
		"domain is out":            {snapshot: unchanged.WithDomainsOut(map[fleet.DomainID]bool{"north": true}), deadline: time.Second, canSend: true},
		"wants nothing from here":  {snapshot: unchanged, heldOff: true, deadline: time.Second, canSend: true},
		"instance was paused":      {snapshot: unchanged, paused: true, deadline: time.Second, usable: true},
		"request has no time left": {snapshot: unchanged, usable: true},
	} {
		l := &lifecycle{
			g: &Gateway{deps: Deps{Snapshot: func() *catalog.Snapshot { return c.snapshot }, Untrusted: func() bool { return c.paused },
				HeldOff: func(*catalog.Upstream) bool { return c.heldOff }}},
			r: &request{service: "s", deadline: time.Now().Add(c.deadline)},
		}
		if got := l.unusableReason(&catalog.Upstream{ID: "u", Service: "s", Domain: "north"}); (got == "") != c.usable {
			t.Errorf("%s: upstream unusable: got reason %q", name, got)
		}
		if got := l.unfitReason(); (got == "") != c.canSend {
			t.Errorf("%s: instance unfit: got reason %q", name, got)
		}
	}
}

// Guards against a stream that is cut because the instance itself was paused: its upstream is gone when the instance runs again,
// and its state isn't proven within the time for which a new request would wait. A new request may go to another instance.
func TestRequestThatMayHaveRunWaitsForTrust(t *testing.T) {
	is := is.New(t)
	awaitTrust := func(ran fault.Run) bool {
		trustedAt := time.Now().Add(2 * trustTimeout)
		l := &lifecycle{
			g: &Gateway{deps: Deps{Untrusted: func() bool { return time.Now().Before(trustedAt) }}}, ctx: context.Background(),
			r: &request{deadline: time.Now().Add(time.Minute)}, ran: ran,
		}
		return l.awaitTrust()
	}
	is.True(!awaitTrust(fault.RunNo))
	is.True(awaitTrust(fault.RunYes))
	is.True(awaitTrust(fault.RunUnknown))
}
