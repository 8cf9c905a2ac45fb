package pick

import (
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

// Profile holds the parameters of the routing policy. The two profiles that users can select differ only in how they
// weigh the slowdown of short prompts against the first-token time of long ones.
type Profile struct {
	Name          string
	Priority      [cost.ClassCount]int           // passed to the engine, -10 to 10; a higher one is scheduled earlier
	MaxWait       [cost.ClassCount]time.Duration // longest predicted wait on an engine; above it the prompt is queued
	RandomChoices int                            // random engines that a decision scores
	PrefixChoices int                            // additional engines, selected by the prompt's prefix
	PeerWeight    float64                        // dispatches of each other instance per own one, 0 to 1
	LanePenalty   time.Duration                  // time that a lane must save a prompt that is not long
	Headroom      float64                        // lanes per engine of measured demand by long prompts
	MaxLaneShare  float64                        // largest share of the engines that may be lanes, 0 to 1
	// MaxSplitRatio limits the division of a long prompt among more engines than it needs: the first-token time must be
	// at most this fraction of that with fewer engines. 0 disables such splits.
	MaxSplitRatio float64
}

// ProfileOf returns the profile of that name, or the short-first one for any other name. See docs/design/routing.md for
// the values.
func ProfileOf(name string) Profile {
	p := Profile{
		Name:     api.ProfileShortFirst,
		Priority: [cost.ClassCount]int{cost.Short: 6, cost.Medium: 3, cost.Long: -3, cost.Group: -3},
		MaxWait: [cost.ClassCount]time.Duration{
			cost.Short: 300 * time.Millisecond, cost.Medium: time.Second,
			cost.Long: 2 * time.Second, cost.Group: 2 * time.Second,
		},
		RandomChoices: 8,
		PrefixChoices: 2,
		PeerWeight:    0.25,
		LanePenalty:   50 * time.Millisecond,
		Headroom:      1.4,
		MaxLaneShare:  0.6,
	}
	if name == api.ProfileLongFirst {
		p.Name = api.ProfileLongFirst
		p.Priority = [cost.ClassCount]int{cost.Short: 6, cost.Medium: 0, cost.Long: 0, cost.Group: 0}
		p.LanePenalty = 200 * time.Millisecond
		p.Headroom = 1.8
		p.MaxLaneShare = 0.6
		p.MaxSplitRatio = 0.9
	}
	return p
}
