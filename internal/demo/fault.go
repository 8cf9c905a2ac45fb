package demo

import (
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

// fault is one fault of the demo, with functions that switch it on before the second phase and off before the third. The
// zero value is no fault.
type fault struct {
	name    string
	on, off func(d *run) error
}

// inForceTimeout limits the wait until a configuration change is in force.
const inForceTimeout = 10 * time.Second

// faultList holds all faults of the demo. The first one is no fault.
var faultList = []fault{
	{},
	standinFault("kill", faultyEngine, faults.Kill),
	standinFault("cold", faultyEngine, faults.Cold),
	standinFault("silent", faultyEngine, faults.SilentConnections),
	standinFault("store", func(*run) string { return cluster.TargetObjects }, faults.RefuseEverything),
	standinFault("lag", func(*run) string { return cluster.TargetInstances }, faults.StaleInstanceList),
	{name: "drain", on: func(d *run) error { return d.apply(api.Change{Drain: d.profile.Domains[0]}) },
		off: func(d *run) error { return d.apply(api.Change{Restore: d.profile.Domains[0]}) }},
}

// faultyEngine returns the id of the engine that engine faults apply to.
func faultyEngine(d *run) string { return d.fleet.Cluster.Engines[0].ID() }

// standinFault returns a fault that switches f on the stand-in that target names.
func standinFault(name string, target func(*run) string, f faults.Fault) fault {
	set := func(on bool) func(*run) error {
		return func(d *run) error { return d.fleet.Cluster.Switch(target(d), f, on, 0) }
	}
	return fault{name: name, on: set(true), off: set(false)}
}

// apply plans and confirms a change, and waits until it is in force on every instance.
func (d *run) apply(c api.Change) error {
	version, err := d.fleet.Apply(c)
	if err != nil {
		return err
	}
	return d.fleet.WaitInForce(version, inForceTimeout)
}

// Faults returns the names of the demo's faults.
func Faults() []string {
	var names []string
	for _, f := range faultList[1:] {
		names = append(names, f.name)
	}
	return names
}

// findFault returns the fault with the name; the empty name finds no fault.
func findFault(name string) (fault, bool) {
	for _, f := range faultList {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}
