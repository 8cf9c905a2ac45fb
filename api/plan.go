package api

import "fmt"

// Change is what an operator asks for: a new intent, or a failure domain taken out or brought back.
// Exactly one of Intent, Drain and Restore is set.
type Change struct {
	Intent  *Intent `json:"intent,omitempty"`
	Drain   string  `json:"drain,omitempty"`   // failure domain to take out
	Restore string  `json:"restore,omitempty"` // failure domain to bring back
	Force   bool    `json:"force,omitempty"`   // accept a plan that breaks a floor; the plan shows what breaks
}

// Validate checks that the change asks for exactly one thing and that its intent is well formed.
func (c *Change) Validate() error {
	set := 0
	for _, is := range []bool{c.Intent != nil, c.Drain != "", c.Restore != ""} {
		if is {
			set++
		}
	}
	if set != 1 {
		return badField("(top level)", fmt.Sprintf("%d changes", set), "exactly one of intent, drain and restore")
	}
	if c.Intent != nil {
		return c.Intent.Validate()
	}
	if name := c.Drain + c.Restore; !validName(name) {
		return badField("failure domain", fmt.Sprintf("%q", name), nameRule)
	}
	return nil
}

// PlanState is where a plan stands.
type PlanState string

// The states of a plan. The stored object is proposed or stopped; a plan is confirmed just when the
// configuration in force names it. Only a confirmed plan that was not stopped is worked off.
const (
	PlanProposed  PlanState = "proposed"
	PlanConfirmed PlanState = "confirmed"
	PlanStopped   PlanState = "stopped" // by an operator, half way
)

// Plan is what a change would do. It is the value of the object plans/ID.
type Plan struct {
	ID      string         `json:"id"`
	State   PlanState      `json:"state"`
	Change  Change         `json:"change"` // its intent, if it has one, stands in After only
	Base    Base           `json:"base"`
	After   Config         `json:"after"` // configuration that a confirmation writes
	Steps   []Step         `json:"steps,omitempty"`
	Target  Target         `json:"target,omitempty"` // what every usable engine has loaded at the end, sorted by upstream
	Floors  map[string]int `json:"floors,omitempty"` // by model: engines that serve at every step
	Summary []string       `json:"summary"`          // what changes, in words
	Impact  []string       `json:"hurt,omitempty"`   // who is hurt and how, in words
	Cost    Cost           `json:"cost"`
	Forced  bool           `json:"forced,omitempty"` // breaks a floor, accepted by the operator
}

// Base holds the versions that a plan was made from.
type Base struct {
	ConfigVersion uint64 `json:"config"`         // version of config/current; 0: there was none
	PlanID        string `json:"plan,omitempty"` // whose confirmation made that version
}

// Cost is what carrying out a plan takes.
type Cost struct {
	Loads         int   `json:"loads"`
	Unloads       int   `json:"unloads"`
	WeightStoreGB int64 `json:"weight_store_gb"`       // transferred from the weight store
	MinSeconds    int64 `json:"min_seconds,omitempty"` // least time that the weight store's rate allows
}

// Kinds of steps; an engine's orders have the same kinds.
const (
	StepLoad   = "load"
	StepUnload = "unload"
)

// Step is one change on one engine. Steps of a stage may run in any order, except that an engine works
// its own off in the order given; a stage starts when the one before it is known to be done.
type Step struct {
	Stage    int    `json:"stage"` // from 1
	Upstream string `json:"upstream"`
	Kind     string `json:"kind"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Adapter  string `json:"adapter,omitempty"`
	WeightGB int64  `json:"weight_gb,omitempty"`
}

// Placement is what one engine has loaded.
type Placement struct {
	Upstream string        `json:"upstream"`
	Loaded   []LoadedModel `json:"loaded,omitempty"` // sorted by model, then version
}

// Loaded is one model version with its adapters.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"` // sorted
}

// NewIntent tells whether the plan changes the intent; otherwise it changes a failure domain.
func (p *Plan) ChangesIntent() bool { return p.Change.Drain == "" && p.Change.Restore == "" }

// Stages is the number of the plan's last stage; 0 for a plan without steps.
func (p *Plan) LastStage() int {
	last := 0
	for _, s := range p.Steps {
		last = max(last, s.Stage)
	}
	return last
}

// Confirmed answers a confirmation that took effect.
type Confirmation struct {
	PlanID        string `json:"plan"`
	ConfigVersion uint64 `json:"config_version"` // that the confirmation made
}
