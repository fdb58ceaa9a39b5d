// Package allowance bounds the requests of client accounts over all daemons together.
package allowance

import (
	"math"
	"time"
)

// Slices is the number of equal parts into which the window of an allowance is divided, so
// that a burst is told from an even use of the window.
const Slices = 5

// Series holds one amount for each slice of the window, the newest first.
type Series [Slices]float64

// offeredMean is the time constant of the rate of offered requests. 1 s made the share
// follow a jump of the rate too late: over-admission by a second's rate in trials.
const offeredMean = 300 * time.Millisecond

// Count is what daemons have counted of the requests of one account.
type Count struct {
	Account string
	// Offered is the rate of requests, in requests a second, whether admitted or not.
	Offered float64
	// Used is the number of requests that were admitted in each slice of the window and
	// that did not end as not run.
	Used Series
}

// Add adds the counts of other daemons.
func (c *Count) Add(other *Count) {
	c.Offered += other.Offered
	c.Used.Add(&other.Used)
}

// Aged returns what the count comes to if no more requests arrive for a time.
func (c *Count) Aged(age, window time.Duration) Count {
	return Count{Account: c.Account, Offered: c.Offered * decay(age), Used: c.Used.Aged(age, window)}
}

func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / offeredMean.Seconds()) }

// Add adds other amounts, slice by slice.
func (s *Series) Add(other *Series) {
	for i := range s {
		s[i] += other[i]
	}
}

// Total returns the sum of the amounts.
func (s *Series) Total() float64 { return s.since(Slices) }

// Aged returns the amounts as they are after a time in which nothing was added. Amounts are
// taken to be spread evenly within a slice.
func (s *Series) Aged(age, window time.Duration) Series {
	if age <= 0 {
		return *s
	}
	shift := float64(age) / float64(window) * Slices
	var aged Series
	for i := range aged {
		aged[i] = s.since(float64(i+1)-shift) - s.since(float64(i)-shift)
	}
	return aged
}

// since returns the amount in the last n slices, which need not be a whole number.
func (s *Series) since(n float64) float64 {
	var total float64
	for i := range s {
		total += s[i] * min(max(n-float64(i), 0), 1)
	}
	return total
}

// Limit says which of the requests of an account daemons may admit. Accounts without one
// have room for all their requests.
type Limit struct {
	Account string
	// Share is the share of the offered requests to admit, 0 to 1.
	Share float64
	// Room is the number of requests that all daemons together may still admit at once.
	Room float64
	// Rate is the rate of the account that the decision rests on, in requests a second.
	Rate float64
}
