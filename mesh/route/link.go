package route

import (
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/member"
)

// usesLink reports whether the body of a call is so large that it takes a noticeable part
// of the link of a server's host. It is false where the bandwidth is unknown.
func (p *Picker) usesLink(q Query, r *member.Record) bool {
	return q.Body > link.FreeBytes(r.LinkMbps) && r.Server != p.Self
}

// bodyTime returns how long the link of a server's host takes for the body of a call.
func bodyTime(q Query, r *member.Record) time.Duration {
	return time.Duration(float64(q.Body) / link.BytesPerSecond(r.LinkMbps) * float64(time.Second))
}

// linkTime estimates how long a call waits for the link of a server's host and its body
// then takes there.
func (p *Picker) linkTime(q Query, r *member.Record, now time.Time) time.Duration {
	if !p.usesLink(q, r) {
		return 0
	}
	return max(p.known(r.Server).linkFreeAt.Sub(now), 0) + bodyTime(q, r)
}

// arrivesInTime reports whether a server is expected to meet the target of a call with a
// large body, whatever its failure domain.
func (p *Picker) arrivesInTime(q Query, r *member.Record) bool {
	q.linkLate = true
	return p.meetsTarget(q, r)
}

// occupyLink counts the body of a call against the link of its server's host until the
// next report of that server.
func (p *Picker) occupyLink(q Query, r *member.Record, now time.Time) {
	if !p.usesLink(q, r) {
		return
	}
	stats := p.statsFor(r.Server)
	if stats.linkFreeAt.Before(now) {
		stats.linkFreeAt = now
	}
	stats.linkFreeAt = stats.linkFreeAt.Add(bodyTime(q, r))
}

// refusedByLink reports whether a server that refused a call has a free slot, so that only
// the link of its host was too busy. Calls without a large body may still go there.
func refusedByLink(l call.Load) bool {
	return l.LinkWait > 0 && l.Running < l.Limit && l.Queued == 0
}
