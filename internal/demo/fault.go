package demo

import (
	"time"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

// fault is one fault of the demo: what switches it on before the second phase, and off before the third.
type fault struct {
	name    string
	on, off func(d *run) error
}

// inForce bounds the wait for a configuration change.
const inForce = 10 * time.Second

// faultList is every fault of the demo; the first is none.
var faultList = []fault{
	{},
	switched("kill", engineOf, faults.Kill),
	switched("cold", engineOf, faults.Cold),
	switched("silent", engineOf, faults.SilentConnections),
	switched("store", func(*run) string { return cluster.TargetObjects }, faults.RefuseEverything),
	switched("lag", func(*run) string { return cluster.TargetInstances }, faults.StaleInstanceList),
	{name: "drain", on: func(d *run) error { return d.apply(api.Change{Drain: d.p.Domains[0]}) },
		off: func(d *run) error { return d.apply(api.Change{Restore: d.p.Domains[0]}) }},
}

// engineOf is the engine that faults of one engine hit.
func engineOf(d *run) string { return d.fleet.Cluster.Engines[0].ID() }

// switched makes a fault of a stand-in.
func switched(name string, target func(*run) string, f faults.Fault) fault {
	set := func(on bool) func(*run) error {
		return func(d *run) error { return d.fleet.Cluster.Switch(target(d), f, on, 0) }
	}
	return fault{name: name, on: set(true), off: set(false)}
}

// apply confirms a change and waits until it is in force everywhere.
func (d *run) apply(c api.Change) error {
	version, err := d.fleet.Apply(c)
	if err != nil {
		return err
	}
	return d.fleet.WaitInForce(version, inForce)
}

// Faults names the faults of the demo.
func Faults() []string {
	var names []string
	for _, f := range faultList[1:] {
		names = append(names, f.name)
	}
	return names
}

func faultNamed(name string) (fault, bool) {
	for _, f := range faultList {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}
