package allowance

import (
	"math/rand/v2"
	"time"
)

// cellsPerSlice divides the slices of the window further, since they move on with time.
const cellsPerSlice = 4

const cells = Slices * cellsPerSlice

// usage counts the requests of one account at one daemon.
type usage struct {
	// admitted holds the requests admitted in the cells up to number last, at their
	// numbers modulo the length.
	admitted [cells + 1]uint32
	last     int64
	offered  float64
	// offeredAt is the time of offered.
	offeredAt time.Duration
	// credit is the part of the next request that the share has admitted already.
	credit float64
	// changed means that there were requests since the last report.
	changed bool
}

// newUsage starts with a random credit, so that of many daemons with few requests each the
// right share admits the first one.
func newUsage(now time.Duration) *usage { return &usage{credit: rand.Float64(), offeredAt: now} }

// cellAt returns the number of the cell at a time and how much of it has passed, 0 to 1.
func cellAt(now, window time.Duration) (int64, float64) {
	width := window / cells
	return int64(now / width), float64(now%width) / float64(width)
}

// advance clears the cells that begin until a time.
func (u *usage) advance(cell int64) {
	for n := max(u.last+1, cell-cells); n <= cell; n++ {
		u.admitted[n%int64(len(u.admitted))] = 0
	}
	u.last = max(u.last, cell)
}

func (u *usage) at(cell int64) float64 {
	if cell < 0 {
		return 0
	}
	return float64(u.admitted[cell%int64(len(u.admitted))])
}

// offer counts a request, whether it is admitted or not.
func (u *usage) offer(now time.Duration) {
	u.offered = u.offered*decay(now-u.offeredAt) + 1/offeredMean.Seconds()
	u.offeredAt, u.changed = now, true
}

// recent returns the requests admitted in the current cell and the one before.
func (u *usage) recent(cell int64) float64 {
	u.advance(cell)
	return u.at(cell) + u.at(cell-1)
}

// count returns the counts at a time.
func (u *usage) count(name string, now, window time.Duration) Count {
	cell, passed := cellAt(now, window)
	u.advance(cell)
	c := Count{Account: name, Offered: u.offered * decay(now-u.offeredAt)}
	for i := range c.Used {
		// The slice ends within the cell newest; the part of that cell which is later
		// belongs to the slice before, and so on with its oldest cell.
		newest := cell - int64(i*cellsPerSlice)
		if i == 0 {
			c.Used[i] = u.at(newest)
		} else {
			c.Used[i] = u.at(newest) * passed
		}
		for n := int64(1); n < cellsPerSlice; n++ {
			c.Used[i] += u.at(newest - n)
		}
		c.Used[i] += u.at(newest-cellsPerSlice) * (1 - passed)
	}
	return c
}

// idle reports whether nothing of the counts is left.
func (u *usage) idle(now, window time.Duration) bool { return now-u.offeredAt > window+offeredMean }
