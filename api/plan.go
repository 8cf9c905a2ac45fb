package api

import "fmt"

// Change is an operator's request: a new intent, or the draining or restoring of a failure domain.
// Exactly one of Intent, Drain and Restore is set.
type Change struct {
	Intent  *Intent `json:"intent,omitempty"`
	Drain   string  `json:"drain,omitempty"`   // failure domain to take out of service
	Restore string  `json:"restore,omitempty"` // failure domain to put back into service
	Force   bool    `json:"force,omitempty"`   // accept a plan that violates a floor; the plan lists the violations
}

// Validate returns an error unless exactly one kind of change is set and its value is valid.
func (c *Change) Validate() error {
	count := 0
	for _, given := range []bool{c.Intent != nil, c.Drain != "", c.Restore != ""} {
		if given {
			count++
		}
	}
	if count != 1 {
		return newFieldError("(top level)", fmt.Sprintf("%d changes", count), "exactly one of intent, drain and restore")
	}
	if c.Intent != nil {
		return c.Intent.Validate()
	}
	if name := c.Drain + c.Restore; !validName(name) {
		return newFieldError("failure domain", fmt.Sprintf("%q", name), allowedName)
	}
	return nil
}

// PlanState is the state of a plan.
type PlanState string

// The states of a plan. The stored object is proposed or stopped; a plan is confirmed exactly when the
// configuration in force names it. Only a confirmed plan that is not stopped is executed.
const (
	PlanProposed  PlanState = "proposed"
	PlanConfirmed PlanState = "confirmed"
	PlanStopped   PlanState = "stopped" // by an operator, before all steps were done
)

// Plan describes the effects of a change and the steps that carry it out. It is the value of the object plans/ID.
type Plan struct {
	ID      string         `json:"id"`
	State   PlanState      `json:"state"`
	Change  Change         `json:"change"` // without the intent, which only After holds
	Base    Base           `json:"base"`
	After   Config         `json:"after"` // configuration that the confirmation writes
	Steps   []Step         `json:"steps,omitempty"`
	Target  Target         `json:"target,omitempty"` // models that each available engine has loaded at the end
	Floors  map[string]int `json:"floors,omitempty"` // by model: number of engines that serve at every step
	Summary []string       `json:"summary"`          // what changes, one sentence an entry
	Impact  []string       `json:"hurt,omitempty"`   // what callers lose, one sentence an entry
	Cost    Cost           `json:"cost"`
	Forced  bool           `json:"forced,omitempty"` // violates a floor, which the operator accepted
}

// Base identifies the configuration that a plan starts from.
type Base struct {
	ConfigVersion uint64 `json:"config"`         // version of config/current; 0: no configuration
	PlanID        string `json:"plan,omitempty"` // plan whose confirmation wrote that version
}

// Cost is the work that executing a plan requires.
type Cost struct {
	Loads         int   `json:"loads"`
	Unloads       int   `json:"unloads"`
	WeightStoreGB int64 `json:"weight_store_gb"`       // gigabytes transferred from the weight store
	MinSeconds    int64 `json:"min_seconds,omitempty"` // least time in seconds that the weight store's rate allows
}

// Kinds of steps. Orders to engines use the same kinds.
const (
	StepLoad   = "load"
	StepUnload = "unload"
)

// Step is one change on one engine. The steps of a stage may run in any order, but each engine runs its own
// steps in the order given. A stage starts when the previous stage is known to be complete.
type Step struct {
	Stage    int    `json:"stage"` // from 1
	Upstream string `json:"upstream"`
	Kind     string `json:"kind"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Adapter  string `json:"adapter,omitempty"`
	WeightGB int64  `json:"weight_gb,omitempty"`
}

// Placement lists the model versions that one engine has loaded.
type Placement struct {
	Upstream string        `json:"upstream"`
	Loaded   []LoadedModel `json:"loaded,omitempty"` // sorted by model, then version
}

// LoadedModel is one model version with its adapters.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"` // sorted
}

// ChangesIntent reports whether the plan changes the intent; otherwise it drains or restores a failure domain.
func (p *Plan) ChangesIntent() bool { return p.Change.Drain == "" && p.Change.Restore == "" }

// LastStage returns the number of the plan's last stage, 0 for a plan without steps.
func (p *Plan) LastStage() int {
	last := 0
	for _, s := range p.Steps {
		last = max(last, s.Stage)
	}
	return last
}

// Confirmation is the response to the confirmation of a plan.
type Confirmation struct {
	PlanID        string `json:"plan"`
	ConfigVersion uint64 `json:"config_version"` // version that the confirmation wrote
}
