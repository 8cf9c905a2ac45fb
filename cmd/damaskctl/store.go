package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/placement"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
	"github.com/damaskshelf/damaskshelf/platform"
)

const (
	// storeTime bounds all that a verb does with the metadata store: some calls of 1 s each.
	storeTime = 5 * time.Second
	storePoll = 5 * time.Millisecond
)

// storeTarget holds the flag by which a verb finds the metadata store of a fleet that forwards routed requests.
// There operators write to the store, and ask no instance.
type storeTarget struct{ storeAddr string }

func (t *storeTarget) setStoreFlag(f *flag.FlagSet) {
	f.StringVar(&t.storeAddr, "store", "", "`address` of the metadata store, IP and port, instead of an instance's")
}

// withFleet calls do with the store and what it holds of the fleet.
func (t *storeTarget) withFleet(e environment, do func(context.Context, *platform.Store, *catalog.Snapshot) subcommands.ExitStatus) subcommands.ExitStatus {
	if _, err := netip.ParseAddrPort(t.storeAddr); err != nil {
		fmt.Fprintf(e.err, "-store %s: no IP address and port\n", t.storeAddr)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTime)
	defer cancel()
	s := platform.NewStore(t.storeAddr)
	defer s.Close()
	snap, err := readFleet(ctx, s)
	if err != nil {
		return exit(e, err)
	}
	return do(ctx, s, snap)
}

// readFleet reads all that the store holds of the fleet.
func readFleet(ctx context.Context, s *platform.Store) (*catalog.Snapshot, error) {
	f := watch.New(watch.Deps{Store: s, Kinds: platform.Kinds(), Decoder: platform.Decoder{}, Log: hclog.NewNullLogger()})
	reading, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		f.Run(reading)
		close(ended)
	}()
	defer func() {
		stop()
		<-ended
	}()
	unknown := func(p watch.Proof) bool { return !p.Known }
	for slices.ContainsFunc(f.Proofs(), unknown) {
		if !wait.For(ctx, storePoll) {
			return nil, &unreachable{cause: errors.New("the metadata store gives no whole answer")}
		}
	}
	return f.Snapshot(), nil
}

// fleetStatus prints what the store says of the fleet.
func (v *statusVerb) fleetStatus(e environment) subcommands.ExitStatus {
	return v.withFleet(e, func(_ context.Context, _ *platform.Store, snap *catalog.Snapshot) subcommands.ExitStatus {
		status := fleetStatusOf(snap, time.Now())
		v.print(e, status, func(w io.Writer) { printFleet(w, status) })
		return exitDone
	})
}

func fleetStatusOf(snap *catalog.Snapshot, now time.Time) api.FleetStatus {
	status := api.FleetStatus{FleetRevision: snap.FleetVersion}
	for d := range snap.DomainsOut {
		status.DomainsOut = append(status.DomainsOut, string(d))
	}
	slices.Sort(status.DomainsOut)
	for _, m := range placement.DispatcherOrder(snap.Members) {
		status.Instances = append(status.Instances, api.FleetInstance{
			ID: string(m.ID), FailureDomain: string(m.Domain), PeerAddr: m.Addr, Incarnation: m.Incarnation,
		})
	}
	if snap.Config == nil {
		return status
	}
	status.ConfigVersion, status.ConfigRevision = snap.Config.Version, snap.Config.Revision
	for name := range snap.Config.Services() {
		status.Services = append(status.Services, serviceStatus(snap, name, now))
	}
	slices.SortFunc(status.Services, func(a, b api.FleetService) int { return strings.Compare(a.Name, b.Name) })
	return status
}

func serviceStatus(snap *catalog.Snapshot, name catalog.ServiceName, now time.Time) api.FleetService {
	s := api.FleetService{Name: string(name)}
	for _, u := range snap.Upstreams(name) {
		switch {
		case u.Leaving:
			s.Leaving++
		case snap.DomainsOut[u.Domain]:
			s.Out++
		default:
			s.Ready++
		}
		if now.Before(u.ColdUntil) {
			s.Cold++
		}
	}
	return s
}

func printFleet(w io.Writer, s api.FleetStatus) {
	fmt.Fprintf(w, "configuration  version %d at revision %d\n", s.ConfigVersion, s.ConfigRevision)
	fmt.Fprintf(w, "store          revision %d\n", s.FleetRevision)
	for i, m := range s.Instances {
		role := ""
		if i == 0 {
			role = ", dispatcher if it is reached"
		}
		fmt.Fprintf(w, "instance       %s in %s, peers at %s%s\n", m.ID, m.FailureDomain, m.PeerAddr, role)
	}
	for _, v := range s.Services {
		fmt.Fprintf(w, "service        %s: %d ready, %d cold, %d leaving, %d out\n", v.Name, v.Ready, v.Cold, v.Leaving, v.Out)
	}
	if len(s.DomainsOut) > 0 {
		fmt.Fprintf(w, "out            %s\n", strings.Join(s.DomainsOut, ", "))
	}
}

// move takes a failure domain out of service, or back, at once: what is written to the store counts as confirmed.
func (t *storeTarget) move(e environment, domain string, out bool) subcommands.ExitStatus {
	return t.withFleet(e, func(ctx context.Context, s *platform.Store, snap *catalog.Snapshot) subcommands.ExitStatus {
		id := fleet.DomainID(domain)
		if known := domainsOf(snap); !slices.Contains(known, id) {
			fmt.Fprintf(e.err, "failure domain %q is not known; known: %v\n", domain, known)
			return exitUsage
		}
		act, what := s.RestoreDomain, "taken back: its upstreams may be cold, and get work again"
		if out {
			act, what = s.DrainDomain, "taken out: its upstreams get no new work within seconds"
		}
		if err := act(ctx, id); err != nil {
			return exit(e, &unreachable{cause: err})
		}
		fmt.Fprintf(e.out, "failure domain %s is %s\n", domain, what)
		return exitDone
	})
}

// domainsOf lists the failure domains of instances and upstreams, and those that are out.
func domainsOf(snap *catalog.Snapshot) []fleet.DomainID {
	seen := map[fleet.DomainID]bool{}
	for d := range snap.DomainsOut {
		seen[d] = true
	}
	for _, m := range snap.Members {
		seen[m.Domain] = true
	}
	if snap.Config != nil {
		for name := range snap.Config.Services() {
			for _, u := range snap.Upstreams(name) {
				seen[u.Domain] = true
			}
		}
	}
	var all []fleet.DomainID
	for d := range seen {
		all = append(all, d)
	}
	slices.Sort(all)
	return all
}
