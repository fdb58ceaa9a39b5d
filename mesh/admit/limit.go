package admit

const (
	// initialLimitShare is the share of its slots with which a new backend
	// server starts.
	initialLimitShare = 0.25
	// minLimitShare is the least share of its slots to which the limit falls.
	minLimitShare = 0.25
	// maxLatencyRatio is the mean ratio of service time to unloaded service
	// time above which the limit falls.
	maxLatencyRatio = 1.3
	// ratioGain is the weight of one call in the moving average of the ratio.
	ratioGain = 0.1
	// decreaseGain is the weight of one call in a decrease of the limit.
	decreaseGain = 0.05
	// increase is how much the limit grows for every limit's worth of calls
	// that end while the server is busy.
	increase = 1.0
	// slowStartIncrease is how much each call raises the limit of a new server
	// until service times first exceed maxLatencyRatio.
	slowStartIncrease = 1.0
	// shedFactor is the factor applied to the limit when the server sheds a
	// call.
	shedFactor = 0.9
	// unloadedShare is the share of the limit up to which a server counts as
	// unloaded.
	unloadedShare = 0.25
	// firstCalls is how many calls a backend server with a fixed limit runs at once
	// until the first of them has ended: its answer may name a rate limit that it
	// named before this daemon's start.
	firstCalls = 2
	// busyShare is the share of the limit from which on a server counts as
	// busy.
	busyShare = 0.7
)

// limiter sets how many calls run at once: never more than the slots that the
// server announced, and fewer while service times are much longer than on an
// unloaded server or while the server sheds calls.
type limiter struct {
	// fixed keeps the limit at the slots, for servers whose service times vary
	// for reasons other than load.
	fixed bool
	// answered means that a call has ended since the slots were set.
	answered bool
	slots    int
	limit    float64
	// ratio is the moving average of service time to unloaded service time.
	ratio float64
	// slowStartDone means that the limit has fallen or has reached the slots
	// before.
	slowStartDone bool
}

func (l *limiter) setSlots(slots int) {
	switch {
	case l.fixed:
		l.limit, l.answered = float64(slots), false
	case l.slots == 0:
		l.limit = initialLimitShare * float64(slots)
	}
	l.slots = slots
	l.clamp()
}

// clamp keeps the limit between its minimum and the slots.
func (l *limiter) clamp() {
	l.limit = min(max(l.limit, minLimitShare*float64(l.slots)), float64(l.slots))
}

// value returns the limit, at least 1 if there are slots.
func (l *limiter) value() int {
	if l.slots <= 0 {
		return 0
	}
	if l.fixed && !l.answered {
		return min(firstCalls, l.slots)
	}
	return max(int(l.limit+0.5), 1)
}

// queueLimit returns the limit that queued calls can count on. While the first calls
// of a backend server with a fixed limit run, others wait for its slots to open.
func (l *limiter) queueLimit() int {
	if l.fixed {
		return l.slots
	}
	return l.value()
}

// observeEnd records that a call has ended.
func (l *limiter) observeEnd() { l.answered = true }

// unloaded reports whether so few calls run that their service times count as
// unloaded. At the minimum limit they always do, as the limit cannot fall
// further.
func (l *limiter) unloaded(running int) bool {
	return float64(running) <= max(unloadedShare*l.limit, 1) || l.limit <= minLimitShare*float64(l.slots)
}

// observeShed lowers the limit after the backend server shed a call.
func (l *limiter) observeShed() {
	if l.fixed {
		return
	}
	l.limit *= shedFactor
	l.clamp()
}

// observe updates the limit after a call that took ratio times its unloaded
// service time while running calls ran.
func (l *limiter) observe(ratio float64, running int) {
	if l.fixed {
		return
	}
	if l.ratio == 0 {
		l.ratio = ratio
	}
	l.ratio += ratioGain * (ratio - l.ratio)
	switch {
	case l.ratio > maxLatencyRatio:
		l.limit *= 1 - decreaseGain*(1-maxLatencyRatio/l.ratio)
		l.slowStartDone = true
	case float64(running) < busyShare*l.limit:
	case l.slowStartDone:
		l.limit += increase / max(l.limit, 1)
	default:
		l.limit += slowStartIncrease
	}
	l.slowStartDone = l.slowStartDone || l.limit >= float64(l.slots)
	l.clamp()
}
