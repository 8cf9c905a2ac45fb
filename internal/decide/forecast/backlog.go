package forecast

import "slices"

// Backlogs forecasts when engines with uneven backlogs have time for more work. The zero value has no engines. It is not
// safe for concurrent use.
type Backlogs struct {
	sorted []float64
	// The least engines that take the amount of the last call, and the sum of their backlogs.
	engines     int
	sum, amount float64
}

// Reset replaces the backlogs, in ms. It keeps the slice and sorts it.
func (b *Backlogs) Reset(ms []float64) {
	slices.Sort(ms)
	*b = Backlogs{sorted: ms}
}

// LevelMs returns the backlog to which the engines with less are filled up by an amount of work, 0 without engines. It is
// fast if the amounts of successive calls grow.
func (b *Backlogs) LevelMs(amount float64) float64 {
	if len(b.sorted) == 0 {
		return 0
	}
	if b.engines == 0 || amount < b.amount {
		b.engines, b.sum = 1, b.sorted[0]
	}
	b.amount = amount
	for b.engines < len(b.sorted) && amount+b.sum > float64(b.engines)*b.sorted[b.engines] {
		b.sum += b.sorted[b.engines]
		b.engines++
	}
	return (amount + b.sum) / float64(b.engines)
}
