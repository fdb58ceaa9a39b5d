package rollout

import (
	"time"

	"fescuehoist.example/mesh/member"
)

const (
	// longWindow and shortWindow are the periods whose counts are judged besides those
	// since the order, so that a release is caught which turns bad after many good answers.
	longWindow  = 3 * time.Second
	shortWindow = time.Second
	// priorAnswers is the number of answers as which the failures of the other releases
	// since the order count beside those of the last second. One failure in newClassAnswers
	// answers is assumed before the first one, as a rate estimated from none is too low.
	priorAnswers    = 10
	newClassAnswers = 25
	// minOthers is the number of answers of other releases in the last second below which
	// they do not tell how many failures to expect; unknownShare is assumed then.
	minOthers    = 5
	unknownShare = 0.01
	// fewServers is the number of servers up to which one that is slow by itself may make
	// the release look slow.
	fewServers = 2
	// minCovered is the least share of the fleet's daemons that must have reported for run
	// times to be judged: while daemons are cut off, the calls that servers make wait, and
	// those of the few servers of an unproven release may wait longer than others.
	minCovered = 0.9
	// minRatePeriod is the shortest time over which rates are measured.
	minRatePeriod = 300 * time.Millisecond
)

// sample is the counts at one time, as sums since the order.
type sample struct {
	at      time.Duration
	classes map[string]classTally
	// requests, exposed and busy sum up all classes; busy is the time of all calls.
	requests, exposed float64
	busy              time.Duration
}

// progress follows the counts of one order. It is pure: times are passed in.
type progress struct {
	release string
	limits  Limits
	samples []sample
	// expected holds for each class the failures that were to be expected of the release,
	// counted the answers up to which they were.
	expected, counted map[string]float64
	// lastRate and lastBusy are the latest results of rate.
	lastRate, lastBusy float64
	// requests and exposed are the highest sums seen; those of daemons that die are lost.
	requests, exposed float64
	// idle is the number of servers that refuse requests and run none; active and failing
	// are those of the release.
	idle, active, failing int
	// reporting is the number of servers of the release whose counts are in the last sample.
	reporting int
	// covered is the share of the fleet's daemons whose counts are in the last sample.
	covered float64
}

func newProgress(release string, limits Limits) *progress {
	return &progress{release: release, limits: limits, expected: map[string]float64{}, counted: map[string]float64{}}
}

// observe adds the counts of one order at a time.
func (p *progress) observe(now time.Duration, counts []Count) {
	s := sample{at: now, classes: map[string]classTally{}}
	p.idle, p.active, p.failing, p.reporting = 0, 0, 0, 0
	for i := range counts {
		c := &counts[i]
		if c.Class == "" {
			p.observeServers(c)
			continue
		}
		t := s.classes[c.Class]
		if c.Release == p.release {
			t.release.add(c)
			s.exposed += float64(c.Answered)
		} else {
			t.others.add(c)
		}
		s.classes[c.Class] = t
		s.requests += float64(c.Answered)
		s.busy += c.Total
	}
	if len(p.samples) > 0 && p.lost(&s) {
		p.samples = nil
	}
	p.expect(&s)
	p.requests, p.exposed = max(p.requests, s.requests), max(p.exposed, s.exposed)
	p.samples = append(p.samples, s)
	for len(p.samples) > 2 && now-p.samples[1].at >= longWindow {
		p.samples = p.samples[1:]
	}
}

func (p *progress) observeServers(c *Count) {
	if c.Release == p.release {
		p.reporting += c.Servers
		p.active += c.Active
		p.failing += c.Failing
		return
	}
	p.idle += c.Idle
}

// lost reports whether the counts of some daemon are missing that were there before.
func (p *progress) lost(s *sample) bool {
	for class, before := range p.samples[len(p.samples)-1].classes {
		now := s.classes[class]
		if now.release.answered < before.release.answered || now.others.answered < before.others.answered {
			return true
		}
	}
	return false
}

// expect adds the failures that the answers since the last sample would contain if the
// release were like the others. Faults that hit both releases for a while count in
// proportion to the requests of that while.
func (p *progress) expect(s *sample) {
	for class, c := range s.classes {
		recent := c.others
		if len(p.samples) > 0 {
			recent = c.others.minus(p.before(s.at - shortWindow).classes[class].others)
		}
		share := (c.others.failed + 1) / (c.others.answered + newClassAnswers)
		share = (recent.failed + priorAnswers*share) / (recent.answered + priorAnswers)
		if recent.answered < minOthers {
			share = max(share, unknownShare)
		}
		p.expected[class] += max(c.release.answered-p.counted[class], 0) * share
		p.counted[class] = max(c.release.answered, p.counted[class])
		c.expected = p.expected[class]
		s.classes[class] = c
	}
}

// before returns the latest sample that is not after a time, or the first one.
func (p *progress) before(at time.Duration) *sample {
	for i := len(p.samples) - 1; i > 0; i-- {
		if p.samples[i].at <= at {
			return &p.samples[i]
		}
	}
	return &p.samples[0]
}

// verdict judges the counts since the order and those of the last seconds.
func (p *progress) verdict() verdict {
	if len(p.samples) == 0 {
		return verdict{}
	}
	last := &p.samples[len(p.samples)-1]
	v := judge(p.evidence(last.classes, true))
	for _, window := range []time.Duration{min(longWindow, p.limits.Within/2), shortWindow} {
		first := p.before(last.at - window)
		if first == last {
			continue
		}
		classes := make(map[string]classTally, len(last.classes))
		for class, c := range last.classes {
			delta := c.minus(first.classes[class])
			if delta.others.timed < minTimedOfClass {
				// In full service nothing runs elsewhere to compare with.
				delta.others = c.others
			}
			classes[class] = delta
		}
		// A neighbor on its host can slow a server down for most of a second.
		v = v.worse(judge(p.evidence(classes, window > shortWindow || p.active > fewServers)))
	}
	return v
}

func (p *progress) evidence(classes map[string]classTally, runTimes bool) *evidence {
	return &evidence{classes: classes, runTimes: runTimes && p.covered >= minCovered, active: p.active, failing: p.failing, certainFailures: p.limits.Slack}
}

// rate returns the requests a second and the mean number of running calls lately.
func (p *progress) rate() (requests, busy float64) {
	if len(p.samples) == 0 {
		return 0, 0
	}
	last := &p.samples[len(p.samples)-1]
	first := p.before(last.at - longWindow)
	if period := last.at - first.at; period >= minRatePeriod {
		p.lastRate = (last.requests - first.requests) / period.Seconds()
		p.lastBusy = (last.busy - first.busy).Seconds() / period.Seconds()
	}
	return p.lastRate, p.lastBusy
}

// situation returns what the next step depends on, apart from times and the store.
func (p *progress) situation(servers []*member.Record) situation {
	s := situation{limits: p.limits, requests: p.requests, exposed: p.exposed, reporting: p.reporting}
	s.rate, s.busy = p.rate()
	for _, r := range servers {
		switch {
		case !r.Routable():
		case r.Release == p.release:
			s.servers++
			s.slots += r.Slots
		default:
			s.otherSlots += r.Slots
		}
	}
	return s
}

// oldServersIdle reports whether every server of another release that still exists
// refuses requests and runs none.
func (p *progress) oldServersIdle(servers []*member.Record) bool {
	left := 0
	for _, r := range servers {
		if !r.Terminal() && r.Release != p.release {
			left++
		}
	}
	return p.idle >= left
}
