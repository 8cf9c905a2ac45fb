package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/crash"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// ErrNoMemory reports that the engine has too little free memory.
var ErrNoMemory = errors.New("engine has no memory free")

// Memory reserves and releases memory of engines.
type Memory interface {
	// Reserve reserves tokens of KV cache under a ticket for the duration hold, counted from the arrival of the call
	// at the engine. Repeating it with the same ticket renews the reservation. ErrNoMemory means that nothing is
	// reserved. After any other error the memory may be reserved, even seconds later.
	Reserve(ctx context.Context, u *catalog.Upstream, ticket string, tokens int, hold time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, u *catalog.Upstream, ticket string) error
}

const (
	// reservationTTL is how long a reservation lasts without renewal. An engine may process a delayed call seconds
	// after the release, and an instance may stop before it releases. A reservation that is not renewed therefore
	// expires within the four seconds for which users accept unused reserved memory.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval leaves time for two more attempts before the reservation expires.
	renewInterval = time.Second
	// reserveTimeout bounds the reservations of one request, as the caller waits for them.
	reserveTimeout = 600 * time.Millisecond
	// releaseTimeout is how long a release is retried. After it the reservation has expired.
	releaseTimeout = reservationTTL
	// callRetryInterval is the delay between attempts of a call to an engine.
	callRetryInterval = 50 * time.Millisecond
)

// Reservation is memory that an engine holds for part of a prompt.
type Reservation struct {
	Upstream *catalog.Upstream
	Tokens   int // of KV cache
}

// Helper is an engine that prefills part of a prompt. It has a ticket if it also holds memory for that part.
type Helper struct {
	Addr   string // IP:port
	Ticket string // of the reservation; empty: none
}

// reservationSet holds the reservations of one send and renews them until they are released.
type reservationSet struct {
	memory       Memory
	items        []Reservation
	tickets      []string // one for each of items
	stopRenewals context.CancelFunc
	renewals     sync.WaitGroup // goroutines that renew
	log          func(what string, r Reservation, err error)
}

// reserveAll makes all reservations or none, and starts their renewal. name must be unique to the send.
func reserveAll(ctx context.Context, m Memory, name string, items []Reservation, log func(string, Reservation, error)) (*reservationSet, error) {
	r := &reservationSet{memory: m, items: items, log: log, stopRenewals: func() {}}
	for i := range items {
		r.tickets = append(r.tickets, fmt.Sprintf("%s-%d", name, i))
	}
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	errs := make([]error, len(items))
	var calls sync.WaitGroup
	for i := range items {
		calls.Go(func() { errs[i] = r.reserveOne(reserveCtx, i) })
	}
	calls.Wait()
	if err := errors.Join(errs...); err != nil {
		r.release()
		return nil, err
	}
	renewCtx, stop := context.WithCancel(context.Background())
	r.stopRenewals = stop
	for i := range items {
		r.renewals.Go(func() { r.renew(renewCtx, i) })
	}
	return r, nil
}

// reserveOne makes one reservation. It retries until the engine accepts or refuses it, or ctx ends. Repeating a call
// with the same ticket is safe.
func (r *reservationSet) reserveOne(ctx context.Context, i int) error {
	defer crash.Report("reservation")
	item := r.items[i]
	for {
		err := r.memory.Reserve(ctx, item.Upstream, r.tickets[i], item.Tokens, reservationTTL)
		if err == nil || errors.Is(err, ErrNoMemory) {
			return err
		}
		if !wait.For(ctx, callRetryInterval) {
			return err
		}
	}
}

// renew renews one reservation until ctx ends. A failed renewal is retried after callRetryInterval, because an
// expired reservation breaks off the request that uses the memory.
func (r *reservationSet) renew(ctx context.Context, i int) {
	defer crash.Report("renewal of reservation")
	item := r.items[i]
	pause := renewInterval
	for wait.For(ctx, pause) {
		pause = renewInterval
		if err := r.memory.Reserve(ctx, item.Upstream, r.tickets[i], item.Tokens, reservationTTL); err != nil && ctx.Err() == nil {
			r.log("renewal failed", item, err)
			pause = callRetryInterval
		}
	}
}

// release stops the renewals and releases every reservation in the background, as the caller already has its answer.
// It waits for a renewal in flight first, so that the engine doesn't process it after the release.
func (r *reservationSet) release() {
	r.stopRenewals()
	go func() {
		r.renewals.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		var calls sync.WaitGroup
		for i := range r.items {
			calls.Go(func() { r.releaseOne(ctx, i) })
		}
		calls.Wait()
	}()
}

// releaseOne retries the release of one reservation until it succeeds or ctx ends.
func (r *reservationSet) releaseOne(ctx context.Context, i int) {
	defer crash.Report("release of reservation")
	for {
		err := r.memory.Release(ctx, r.items[i].Upstream, r.tickets[i])
		if err == nil {
			return
		}
		if !wait.For(ctx, callRetryInterval) {
			r.log("release failed; the reservation expires by itself", r.items[i], err)
			return
		}
	}
}

// reserveMemory makes the grant's reservations on other engines and returns all helpers of the send. If it fails, it
// releases the grant and returns the failure.
func (l *lifecycle) reserveMemory() ([]Helper, *failure) {
	var helpers []Helper
	if reservations := l.grant.Reservations(); len(reservations) > 0 {
		name := fmt.Sprintf("%s-%d-%d", l.r.ID, l.sends, time.Now().UnixMilli()%ticketSuffixes)
		set, err := reserveAll(l.ctx, l.g.deps.Memory, name, reservations, l.logReservation)
		if err != nil {
			f := &failure{outcome: Rejected, ran: fault.RunNo, cause: fmt.Errorf("reserve memory: %w", err)}
			l.releaseFailed(f)
			return nil, f
		}
		l.reservations = set
		for i, item := range reservations {
			helpers = append(helpers, Helper{Addr: item.Upstream.Addr, Ticket: set.tickets[i]})
		}
	}
	for _, addr := range l.grant.Helpers() {
		helpers = append(helpers, Helper{Addr: addr})
	}
	return helpers, nil
}

// ticketSuffixes bounds the numeric suffix that distinguishes the tickets of sends with the same request id and
// count.
const ticketSuffixes = 1_000_000

// logReservation logs a failed call for a reservation; what is the message.
func (l *lifecycle) logReservation(what string, r Reservation, err error) {
	l.g.log.Warn(what, "request", l.r.ID, "upstream", r.Upstream.ID, "tokens", r.Tokens, "error", err)
}
