package admit

const (
	// startShare is the part of its slots that a new backend server starts
	// with.
	startShare = 0.25
	// floorShare is the least part of its slots that a server is left with.
	floorShare = 0.25
	// tolerated is how many times its unloaded time a call may take before the
	// limit falls.
	tolerated = 1.3
	// ratioGain is the weight of one call in the mean ratio.
	ratioGain = 0.1
	// fallGain is the weight of one call in a fall of the limit.
	fallGain = 0.05
	// growth is how much the limit grows while as many calls run as it allows
	// and end.
	growth = 1.0
	// startGrowth is by how much each call raises the limit of a new server,
	// until calls take too long for the first time.
	startGrowth = 1.0
	// shedFactor is what is left of the limit after the server shed a call.
	shedFactor = 0.9
	// aloneShare is the part of the limit up to which calls run almost alone.
	aloneShare = 0.25
	// busyShare is the part of the limit from which on a server counts as busy.
	busyShare = 0.7
)

// limiter sets how many calls run at once: never more than the slots that the
// server announced, and fewer while calls beside others take much longer than
// calls alone, or are shed.
type limiter struct {
	// fixed keeps the limit at the slots: times that vary by themselves say
	// little of a server's load.
	fixed bool
	slots int
	limit float64
	// ratio is the mean of the times that calls took over their unloaded ones.
	ratio float64
	// settled says that the limit has fallen or reached the slots before.
	settled bool
}

func (l *limiter) setSlots(slots int) {
	switch {
	case l.fixed:
		l.limit = float64(slots)
	case l.slots == 0:
		l.limit = startShare * float64(slots)
	}
	l.slots = slots
	l.bound()
}

// bound keeps the limit between its floor and the slots.
func (l *limiter) bound() {
	l.limit = min(max(l.limit, floorShare*float64(l.slots)), float64(l.slots))
}

// value returns the limit.
func (l *limiter) value() int {
	if l.slots <= 0 {
		return 0
	}
	return max(int(l.limit+0.5), 1)
}

// alone reports whether so few calls run that they take their unloaded time.
// At its floor the limit takes what it sees for that.
func (l *limiter) alone(running int) bool {
	return float64(running) <= max(aloneShare*l.limit, 1) || l.limit <= floorShare*float64(l.slots)
}

// shed takes note that the backend server refused a call.
func (l *limiter) shed() {
	if l.fixed {
		return
	}
	l.limit *= shedFactor
	l.bound()
}

// ended takes note of a call that took ratio times its unloaded time while
// running calls ran.
func (l *limiter) ended(ratio float64, running int) {
	if l.fixed {
		return
	}
	if l.ratio == 0 {
		l.ratio = ratio
	}
	l.ratio += ratioGain * (ratio - l.ratio)
	switch {
	case l.ratio > tolerated:
		l.limit *= 1 - fallGain*(1-tolerated/l.ratio)
		l.settled = true
	case float64(running) < busyShare*l.limit:
	case l.settled:
		l.limit += growth / max(l.limit, 1)
	default:
		l.limit += startGrowth
	}
	l.settled = l.settled || l.limit >= float64(l.slots)
	l.bound()
}
