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
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/placement"
	"github.com/damaskshelf/damaskshelf/internal/wait"
	"github.com/damaskshelf/damaskshelf/internal/watch"
	"github.com/damaskshelf/damaskshelf/platform"
)

const (
	// storeTimeout limits all calls of a command to the metadata store together; each of them may take 1 s.
	storeTimeout      = 5 * time.Second
	storePollInterval = 5 * time.Millisecond // between two checks of the local copy; they make no calls
)

// storeTarget holds the flag that selects the metadata store of a fleet that forwards routed requests. Operators of such
// a fleet read and write the store directly; commands call no instance.
type storeTarget struct{ storeAddr string }

// setStoreFlag defines the flag -store.
func (t *storeTarget) setStoreFlag(f *flag.FlagSet) {
	f.StringVar(&t.storeAddr, "store", "", "`address` of the metadata store, IP and port, instead of an instance's")
}

// withFleet calls fn with the store and a snapshot of the fleet from it.
func (t *storeTarget) withFleet(e environment, fn func(context.Context, *platform.Store, *catalog.Snapshot) subcommands.ExitStatus) subcommands.ExitStatus {
	if _, err := netip.ParseAddrPort(t.storeAddr); err != nil {
		fmt.Fprintf(e.err, "-store %s is not an IP address and port\n", t.storeAddr)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	s := platform.NewStore(t.storeAddr)
	defer s.Close()
	snap, err := readFleet(ctx, s)
	if err != nil {
		return reportError(e, err)
	}
	return fn(ctx, s, snap)
}

// readFleet reads a snapshot of the whole fleet from the store. It fails if ctx ends before all kinds of objects
// have been read.
func readFleet(ctx context.Context, s *platform.Store) (*catalog.Snapshot, error) {
	f := watch.New(watch.Deps{Store: s, Kinds: platform.Kinds(), Decoder: platform.Decoder{}, Log: hclog.NewNullLogger()})
	watchCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		f.Run(watchCtx)
		close(done)
	}()
	defer func() {
		stop()
		<-done
	}()
	unknown := func(p watch.Proof) bool { return !p.Known }
	for slices.ContainsFunc(f.Proofs(), unknown) {
		if !wait.For(ctx, storePollInterval) {
			return nil, &unreachableError{cause: errors.New("the metadata store gives no whole answer")}
		}
	}
	return f.Snapshot(), nil
}

// showFleetStatus prints the fleet's status from the store.
func (cmd *statusCommand) showFleetStatus(e environment) subcommands.ExitStatus {
	return cmd.withFleet(e, func(_ context.Context, _ *platform.Store, snap *catalog.Snapshot) subcommands.ExitStatus {
		status := newFleetStatus(snap, time.Now())
		cmd.print(e, status, func(w io.Writer) { printFleetStatus(w, status) })
		return exitDone
	})
}

// newFleetStatus returns the status of the fleet in the snapshot. Instances are in dispatcher order.
func newFleetStatus(snap *catalog.Snapshot, now time.Time) api.FleetStatus {
	status := api.FleetStatus{FleetRevision: objects.Revision(snap.FleetVersion)}
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
	status.ConfigVersion, status.ConfigRevision = snap.Config.Version, objects.Revision(snap.Config.Revision)
	for name := range snap.Config.Services() {
		status.Services = append(status.Services, newServiceStatus(snap, name, now))
	}
	slices.SortFunc(status.Services, func(a, b api.FleetService) int { return strings.Compare(a.Name, b.Name) })
	return status
}

// newServiceStatus counts the service's upstreams by state. A cold upstream counts in another state as well.
func newServiceStatus(snap *catalog.Snapshot, name catalog.ServiceName, now time.Time) api.FleetService {
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

// printFleetStatus prints the status read from the metadata store. The first instance is the dispatcher if it is
// reachable.
func printFleetStatus(w io.Writer, s api.FleetStatus) {
	fmt.Fprintf(w, "configuration  version %d at revision %d\n", s.ConfigVersion, s.ConfigRevision)
	fmt.Fprintf(w, "store          revision %d\n", s.FleetRevision)
	for i, m := range s.Instances {
		role := ""
		if i == 0 {
			role = ", dispatcher if reachable"
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

// setDomainOut takes a failure domain out of service, or back, at once. A write to the store needs no confirmation.
func (t *storeTarget) setDomainOut(e environment, domain string, out bool) subcommands.ExitStatus {
	return t.withFleet(e, func(ctx context.Context, s *platform.Store, snap *catalog.Snapshot) subcommands.ExitStatus {
		id := fleet.DomainID(domain)
		if known := knownDomains(snap); !slices.Contains(known, id) {
			fmt.Fprintf(e.err, "failure domain %q is not known; known: %v\n", domain, known)
			return exitUsage
		}
		write, outcome := s.RestoreDomain, "taken back: its upstreams may be cold, and get work again"
		if out {
			write, outcome = s.DrainDomain, "taken out: its upstreams get no new work within seconds"
		}
		if err := write(ctx, id); err != nil {
			return reportError(e, &unreachableError{cause: err})
		}
		fmt.Fprintf(e.out, "failure domain %s is %s\n", domain, outcome)
		return exitDone
	})
}

// knownDomains returns the sorted failure domains of instances and upstreams, and those that are out.
func knownDomains(snap *catalog.Snapshot) []fleet.DomainID {
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
