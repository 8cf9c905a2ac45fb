package pick

import (
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/decide/cost"
)

// Profile is a setting of the routing policy. The two that users name differ in how they weigh the
// slowdown of short prompts against the first-token time of long ones, and in nothing else.
type Profile struct {
	Name          string
	Priority      [cost.ClassCount]int           // passed to the engine, -10 to 10
	MaxWait       [cost.ClassCount]time.Duration // longest predicted wait on an engine; above it the prompt waits at the entry
	RandomChoices int                            // random engines that a decision looks at
	PrefixChoices int                            // engines more, found by the prompt's prefix
	PeerWeight    float64                        // how much of the other instances' dispatches own ones stand for, 0 to 1
	LanePenalty   time.Duration                  // what a lane must save a short prompt before it goes there
	Headroom      float64                        // lane capacity for each unit of measured long demand
	MaxLaneShare  float64                        // largest share of the engines that may be lanes
	// SplitGain is how much of one engine's first-token time two engines may at most need for a long
	// prompt to be split over them, though one could hold it; 0: never.
	MaxSplitRatio float64
}

// ProfileOf gives the profile that the settings name. The values are measured: docs/design/routing.md.
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
