package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/wait"
)

// ErrNoMemory: the engine has not the memory free.
var ErrNoMemory = errors.New("engine has no memory free")

// Memory reserves engines' memory.
type Memory interface {
	// Reserve reserves tokens under a ticket for hold, counted from the order's arrival; the same ticket again
	// renews it. ErrNoMemory: nothing is reserved. After any other error it may be, or may yet be seconds later.
	Reserve(ctx context.Context, u *catalog.Upstream, ticket string, tokens int, hold time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, u *catalog.Upstream, ticket string) error
}

const (
	// hold is how long a reservation lasts without renewal. An engine may carry a late order out seconds after
	// it was released, and an instance may die before it releases: what nobody renews ends by itself within
	// the four seconds that users allow memory to be set aside for nobody.
	hold = 3500 * time.Millisecond
	// renewEvery leaves two more attempts before the hold is over.
	renewEvery = time.Second
	// reserveTime bounds the reservations of one request; the caller waits meanwhile.
	reserveTime = 600 * time.Millisecond
	// releaseFor is how long a release is tried: after it the hold is over.
	releaseFor = hold
	// orderPause is the pause between attempts at an order.
	orderPause = 50 * time.Millisecond
)

// Holder is an engine that holds part of a prompt's memory.
type Reservation struct {
	Upstream *catalog.Upstream
	Tokens   int
}

// Helper is an engine that reads part of a prompt, and holds memory for it where it has a ticket.
type Helper struct {
	Addr   string // IP:port
	Ticket string
}

// reservations are the memory of one request on engines that hold it.
type reservations struct {
	memory  Memory
	holders []Reservation
	tickets []string
	stop    context.CancelFunc
	done    sync.WaitGroup
	log     func(what string, h Reservation, err error)
}

// reserve reserves all holders' memory, or none. name must be unique to the send.
func reserve(ctx context.Context, m Memory, name string, holders []Reservation, log func(string, Reservation, error)) (*reservations, error) {
	r := &reservations{memory: m, holders: holders, log: log, stop: func() {}}
	for i := range holders {
		r.tickets = append(r.tickets, fmt.Sprintf("%s-%d", name, i))
	}
	limit, cancel := context.WithTimeout(ctx, reserveTime)
	defer cancel()
	errs := make([]error, len(holders))
	var all sync.WaitGroup
	for i := range holders {
		all.Go(func() { errs[i] = r.reserveOne(limit, i) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		r.release()
		return nil, err
	}
	work, stop := context.WithCancel(context.Background())
	r.stop = stop
	for i := range holders {
		r.done.Go(func() { r.renew(work, i) })
	}
	return r, nil
}

// reserveOne tries until the engine says yes or no. Sending the same ticket again is safe.
func (r *reservations) reserveOne(ctx context.Context, i int) error {
	h := r.holders[i]
	for {
		err := r.memory.Reserve(ctx, h.Upstream, r.tickets[i], h.Tokens, hold)
		if err == nil || errors.Is(err, ErrNoMemory) {
			return err
		}
		if !wait.For(ctx, orderPause) {
			return err
		}
	}
}

// renew keeps one reservation up until ctx ends. A failed renewal is tried again at once: the request that
// uses the memory is cut off when the hold is over.
func (r *reservations) renew(ctx context.Context, i int) {
	h := r.holders[i]
	pause := renewEvery
	for wait.For(ctx, pause) {
		pause = renewEvery
		if err := r.memory.Reserve(ctx, h.Upstream, r.tickets[i], h.Tokens, hold); err != nil && ctx.Err() == nil {
			r.log("renewal failed", h, err)
			pause = orderPause
		}
	}
}

// release ends the renewals and releases every reservation, in the background: the caller has its answer.
// A renewal that is under way ends first, so that it isn't carried out after the release.
func (r *reservations) release() {
	r.stop()
	go func() {
		r.done.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), releaseFor)
		defer cancel()
		var all sync.WaitGroup
		for i := range r.holders {
			all.Go(func() { r.releaseOne(ctx, i) })
		}
		all.Wait()
	}()
}

func (r *reservations) releaseOne(ctx context.Context, i int) {
	for {
		err := r.memory.Release(ctx, r.holders[i].Upstream, r.tickets[i])
		if err == nil {
			return
		}
		if !wait.For(ctx, orderPause) {
			r.log("release failed: the hold ends by itself", r.holders[i], err)
			return
		}
	}
}

// reserve reserves the memory that the grant asks for on other engines, and gives all helpers of the send.
func (l *life) reserve() ([]Helper, *failure) {
	var helpers []Helper
	if holders := l.grant.Reservations(); len(holders) > 0 {
		name := fmt.Sprintf("%s-%d-%d", l.r.ID, l.arrivals, time.Now().UnixMilli()%reservationNames)
		held, err := reserve(l.ctx, l.g.deps.Memory, name, holders, l.logOrder)
		if err != nil {
			f := &failure{outcome: Rejected, ran: fault.RunNo, cause: fmt.Errorf("reserve memory: %w", err)}
			l.end(f)
			return nil, f
		}
		l.held = held
		for i, h := range holders {
			helpers = append(helpers, Helper{Addr: h.Upstream.Addr, Ticket: held.tickets[i]})
		}
	}
	for _, addr := range l.grant.Helpers() {
		helpers = append(helpers, Helper{Addr: addr})
	}
	return helpers, nil
}

// reservationNames bounds the number that tells a request's reservations apart.
const reservationNames = 1_000_000

func (l *life) logOrder(what string, h Reservation, err error) {
	l.g.log.Warn(what, "request", l.r.ID, "upstream", h.Upstream.ID, "tokens", h.Tokens, "error", err)
}
