package gateway

import (
	"testing"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// A place was given by older knowledge: by what the instance knows now the upstream leaves, is gone, out or another
// service's, or the instance itself was paused. Nothing is sent there, whatever the dispatcher still believes.
func TestAPlaceIsCheckedByTheNewestSnapshot(t *testing.T) {
	upstream := func(change func(*catalog.Upstream)) *catalog.Snapshot {
		u := &catalog.Upstream{ID: "u", Service: "s", Domain: "north"}
		change(u)
		return catalog.NewSnapshot(nil, []*catalog.Upstream{u}, nil, nil, 1)
	}
	sound := upstream(func(*catalog.Upstream) {})
	for name, c := range map[string]struct {
		now      *catalog.Snapshot
		paused   bool
		heldOff  bool
		deadline time.Duration
		usable   bool
		fit      bool
	}{
		"sound":                   {now: sound, deadline: time.Second, usable: true, fit: true},
		"leaving":                 {now: upstream(func(u *catalog.Upstream) { u.Leaving = true }), deadline: time.Second, fit: true},
		"of another service":      {now: upstream(func(u *catalog.Upstream) { u.Service = "other" }), deadline: time.Second, fit: true},
		"gone":                    {now: catalog.NewSnapshot(nil, nil, nil, nil, 1), deadline: time.Second, fit: true},
		"domain is out":           {now: sound.WithOut(map[fleet.DomainID]bool{"north": true}), deadline: time.Second, fit: true},
		"wants nothing from here": {now: sound, heldOff: true, deadline: time.Second, fit: true},
		"instance was paused":     {now: sound, paused: true, deadline: time.Second, usable: true},
		"request has no time":     {now: sound, usable: true},
	} {
		l := &life{
			g: &Gateway{deps: Deps{Snapshot: func() *catalog.Snapshot { return c.now }, Untrusted: func() bool { return c.paused },
				HeldOff: func(*catalog.Upstream) bool { return c.heldOff }}},
			r: &request{service: "s", deadline: time.Now().Add(c.deadline)},
		}
		if got := l.unusable(&catalog.Upstream{ID: "u", Service: "s", Domain: "north"}); (got == "") != c.usable {
			t.Errorf("%s: unusable because %q", name, got)
		}
		if got := l.unfit(); (got == "") != c.fit {
			t.Errorf("%s: unfit because %q", name, got)
		}
	}
}
