package allowance

import (
	"time"

	"fescuehoist.example/mesh/target"
)

const (
	// horizon is the time over which room is given out beside the rate. It must be a few
	// times the delay between a request and the decisions that take it into account
	// (0.4 s), or the share swings.
	horizon = time.Second
	// tolerance is added to the burst of each account. Requests that arrive at random
	// exceed a small rate without burst now and then.
	tolerance = 8
	// leastShare is the share of an account's rate that is admitted however much was
	// admitted before. Callers that keep well below the rate are then not refused after
	// others have exceeded it for a moment.
	leastShare = 0.75
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

// Decide returns the limit of an account for the daemons that the counts cover, and whether
// it has to be applied. They may admit their part of the account's rate and burst: in no
// part of the window more than the rate allows in its time plus the burst.
func Decide(a *target.Account, window time.Duration, c *Coverage, n *Count) (l Limit, needed bool) {
	all := float64(max(c.All, c.Daemons, 1))
	rate := a.Rate * float64(c.Daemons) / all
	burst := (a.Burst + tolerance) / all * min(c.Present[Slices-1], float64(c.Daemons))
	room := roomLeft(a.Rate/all*window.Seconds()/Slices, burst, c, n)
	l = Limit{Account: a.Name, Share: 1, Room: max(room, 0), Rate: a.Rate}
	admitted := max(rate+room/horizon.Seconds(), leastShare*rate)
	if n.Offered > admitted {
		l.Share = admitted / n.Offered
	}
	return l, admitted < listedShare*n.Offered || room < listedRoom*burst
}

// roomLeft returns how many requests may be admitted at once: the level of a token bucket
// that gets earned tokens for each daemon in each slice of the window. It is below 0 if too
// many were admitted.
func roomLeft(earned, burst float64, c *Coverage, n *Count) float64 {
	room, level := burst, burst
	for i := range n.Used {
		level += earned*c.Present[i] - n.Used[i]
		room = min(room, level)
	}
	return room
}
