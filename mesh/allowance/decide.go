package allowance

import (
	"math"
	"time"

	"fescuehoist.example/mesh/target"
)

const (
	// horizon is the time over which room is given out beside the rate. It must be a few
	// times the delay between a request and the decisions that take it into account
	// (0.4 s), or the share swings.
	horizon = 1500 * time.Millisecond
	// shortHorizon is the time over which room is given out that is large beside the rate.
	// The rate of an account with few requests is estimated from so few that it is often far
	// too high; such accounts must not be refused while there is room.
	shortHorizon = 600 * time.Millisecond
	// tolerance is added to the burst of each account. Requests that arrive at random
	// exceed a small rate without burst now and then.
	tolerance = 5
	// leastBurst is the number of requests that may come at once as long as the whole window
	// has room. Accounts of a few requests a second, whose requests arrive at random, were
	// refused some of them with their burst alone.
	leastBurst = 18
	// leastShare is the share of an account's rate that is admitted however much was
	// admitted before. Callers that keep well below the rate are then not refused after
	// others have exceeded it for a moment.
	leastShare = 0.65
	// reserve is the part of what the limit allows in a whole window that is not given out.
	// Without it, accounts that exceed their limit had 7% more than it in some windows,
	// because of the time until decisions reach all daemons; 10% are permitted.
	reserve = 0.06
	// listedShare and listedRoom bound the accounts that replies list: those with more
	// room for each offered request, and more of their burst left, are left out.
	listedShare, listedRoom = 2, 0.5
)

// Coverage says for how many daemons counts were added up.
type Coverage struct {
	// Daemons is the number of daemons in touch, All that of all known daemons.
	Daemons, All int
	// Present is the number of daemons in each slice of the window that counted in it. It
	// includes daemons that were lost since, and excludes those that started since: what
	// these admitted before is unknown, so their part counts as spent.
	Present Series
}

// Share returns the share of all known daemons that the counts cover.
func (c *Coverage) Share() float64 {
	return float64(c.Daemons) / float64(max(c.All, c.Daemons, 1))
}

// Decide returns the limit of an account for the daemons that the counts cover, and whether
// it has to be applied. They may admit their part of the account's rate and burst: in no
// part of the window more than the rate allows in its time plus the burst.
func Decide(a *target.Account, window time.Duration, c *Coverage, n *Count) (l Limit, needed bool) {
	return decideWithin(math.Inf(1), a, window, c, n)
}

// decideWithin is Decide with a bound on the room, for daemons that know more of it than
// their own counts tell.
func decideWithin(bound float64, a *target.Account, window time.Duration, c *Coverage, n *Count) (l Limit, needed bool) {
	all := float64(max(c.All, c.Daemons, 1))
	rate := a.Rate * float64(c.Daemons) / all
	full := min(c.Present[Slices-1], float64(c.Daemons)) / all
	burst := burstOf(a) * full
	room := min(bound, roomLeft(a.Rate/all*window.Seconds()/Slices, burst, (a.Burst+tolerance)*full, c, n))
	l = Limit{Account: a.Name, Share: 1, Room: max(room, 0), Rate: a.Rate}
	admitted := max(rate+room/horizon.Seconds(), room/shortHorizon.Seconds(), leastShare*rate)
	// At least one request may come in a second, however few came before. Without this,
	// daemons that are alone admit each of their few requests.
	offered := max(n.Offered, 1)
	if offered > admitted {
		l.Share = admitted / offered
	}
	return l, admitted < listedShare*offered || room < listedRoom*burst
}

// burstOf returns the number of requests of an account that may come at once.
func burstOf(a *target.Account) float64 { return max(a.Burst+tolerance, leastBurst) }

// roomLeft returns how many requests may be admitted at once: the level of a token bucket
// that gets earned tokens for each daemon in each slice of the window. It is below 0 if too
// many were admitted. Over the whole window, wholeBurst takes the place of burst.
func roomLeft(earned, burst, wholeBurst float64, c *Coverage, n *Count) float64 {
	room, level, whole := burst, 0.0, wholeBurst
	for i := range n.Used {
		whole += earned * c.Present[i]
		level += earned*c.Present[i] - n.Used[i]
		room = min(room, burst+level)
	}
	return min(room, wholeBurst+level-reserve*whole)
}
