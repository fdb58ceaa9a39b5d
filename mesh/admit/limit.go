package admit

// limiter holds how many calls run at once: never more than the slots
// announced.
type limiter struct {
	slots int
}

func (l *limiter) setSlots(slots int) { l.slots = slots }

func (l *limiter) value() int { return l.slots }

// shed takes note that the backend server refused a call.
func (l *limiter) shed(int) {}

// ended takes note of a call that took ratio times its unloaded time.
func (l *limiter) ended(float64, int) {}
