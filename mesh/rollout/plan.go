package rollout

import (
	"math"
	"time"
)

// Limits bound what a bad release may get.
type Limits struct {
	// Share is the share of the requests to a service, from the order to its time limit,
	// that a bad release may get, plus Slack requests.
	Share, Slack float64
	// Within is the time after the 50th bad answer within which the release gets its last
	// request.
	Within time.Duration
}

const (
	// rateCaution is the share of the present rate at which later requests are counted on.
	rateCaution = 0.9
	// What the release gets in detectionTime, in which it is found out to be bad in full
	// service, is kept back of the allowed exposure until then, within the shares
	// minProbePart and maxProbePart of it; canaryPart of the rest is for the canary.
	detectionTime = 800 * time.Millisecond
	minProbePart  = 0.4
	maxProbePart  = 0.8
	canaryPart    = 0.4
	// maxCanaryShare bounds the canary; initialShare is used while the rate is unknown.
	maxCanaryShare = 0.05
	// triedPart is the share of a phase's requests after which its least time need not pass.
	triedPart     = 0.9
	initialShare  = 0.02
	minCanaryTime = time.Second
	// maxProbeShare is the largest share in a probe. At 1 the other servers would refuse
	// requests, and go on with it for reopenAfter when the share decreases.
	maxProbeShare = 0.9
	// A probe takes minProbeTime to maxProbeTime, and maxProbeTimeShare of the time limit at
	// most. The least time holds the way of directions and counts and half a second of
	// answers.
	minProbeTime      = 1200 * time.Millisecond
	maxProbeTime      = 3 * time.Second
	maxProbeTimeShare = 0.2
	// reserveTime is the time from the direction of all traffic to the end, without that
	// of running calls; maxLongest is the most that is planned for those. Both together
	// take maxReserveShare of the time limit at the most.
	reserveTime     = 1500 * time.Millisecond
	maxLongest      = 2 * time.Second
	maxReserveShare = 0.4
	// A release is in full service for minFullTime to maxFullTime before it is completed,
	// and less if the time limit is not more than writeTime away. endTime is the
	// age of the counts and the time until directions arrive.
	minFullTime = closeDelay
	maxFullTime = 2 * time.Second
	writeTime   = time.Second
	endTime     = 600 * time.Millisecond
	// carriedLoad is the share of the slots of the release that the present load may take.
	carriedLoad = 0.7
	// equalSlots is the share of the other servers' slots at which the release is taken to
	// carry what they do.
	equalSlots = 0.9
	// overtime is how long after the time limit a rollout may still be completed.
	overtime = 10 * time.Second
	// The share changes only by more than these factors, so that daemons need not rebuild
	// their routes for each report.
	shareDecrease, shareIncrease = 0.75, 1.4
)

// phase is a part of a running rollout.
type phase uint8

const (
	// waiting: no server of the release is ready.
	waiting phase = iota
	// canary: the release gets few requests.
	canary
	// probe: few of its servers are loaded as in full service.
	probe
	// full: the release gets all requests.
	full
)

func (p phase) String() string {
	return [...]string{"waiting", "canary", "probe", "full"}[p]
}

// step is what the directions of a running rollout say.
type step struct {
	phase   phase
	share   float64
	servers int
	// since is how long the rollout had been running when the phase began.
	since time.Duration
}

// situation is what the next step depends on.
type situation struct {
	limits Limits
	// elapsed is the time since the order, duration its time limit, longest the longest
	// timeout of a call.
	elapsed, duration, longest time.Duration
	// requests is the number of requests to the service since the order, exposed that of
	// those which the release got, rate the number of requests a second now.
	requests, exposed, rate float64
	// busy is the mean number of calls that run at the servers.
	busy float64
	// servers and slots are those of the release which are ready, otherSlots those of the
	// other servers.
	servers, slots, otherSlots int
	// reporting is the number of servers of the release whose counts arrive.
	reporting                  int
	doubtful, slightlyDoubtful bool
	// storeReachable means that the store answered lately.
	storeReachable bool
}

// allowance returns the number of requests that the release may have got at the time
// limit if it is bad.
func (s *situation) allowance() float64 {
	left := max(s.duration-s.elapsed, 0).Seconds()
	return s.limits.Share*(s.requests+rateCaution*s.rate*left) + rateCaution*s.limits.Slack
}

func (s *situation) fullAt() time.Duration {
	reserve := min(s.longest, maxLongest) + reserveTime
	return s.duration - min(reserve, time.Duration(maxReserveShare*float64(s.duration)))
}

// probe returns the number of servers that take part in the probe, and how long these may
// be loaded as in full service.
func (s *situation) probe() (servers int, d time.Duration) {
	longest := min(max(time.Duration(maxProbeTimeShare*float64(s.duration)), minProbeTime), maxProbeTime)
	servers = min(2, max(s.servers/2, 1))
	if s.rate == 0 {
		return servers, longest
	}
	perServer := s.rate / float64(max(s.servers, 1))
	affordable := time.Duration((1 - canaryPart) * s.beforeFull() / perServer * float64(time.Second))
	if affordable/time.Duration(servers) < minProbeTime {
		servers = 1
	}
	return servers, min(max(affordable/time.Duration(servers), minProbeTime), longest)
}

func (s *situation) probeTime() time.Duration {
	_, d := s.probe()
	return d
}

// carries reports whether the servers of the release can take all requests.
func (s *situation) carries() bool {
	return float64(s.slots) >= equalSlots*float64(s.otherSlots) || s.busy <= carriedLoad*float64(s.slots)
}

// expired reports whether a rollout that has not come to full service can no longer be
// completed. One in good order may wait for servers or the store.
func (s *situation) expired() bool {
	return s.elapsed >= s.duration && (s.doubtful || s.elapsed >= s.duration+overtime)
}

// proven reports whether a release without signs of a fault has been in full service for
// long enough: until the allowance is nearly used up, or the time limit is near.
func (s *situation) proven(now step) bool {
	in := s.elapsed - now.since
	if !s.informed() {
		return false
	}
	if in < minFullTime || s.elapsed >= s.duration-writeTime {
		return in >= minFullTime
	}
	return !s.slightlyDoubtful && (in >= maxFullTime || s.spent())
}

// spent reports whether the release may get no more requests if it may be bad.
func (s *situation) spent() bool { return s.exposed+s.rate*endTime.Seconds() >= s.allowance() }

// next returns the step that follows a step.
func (s *situation) next(now step) step {
	p := s.nextPhase(now)
	if p != now.phase {
		now = step{phase: p, since: s.elapsed}
	}
	share, servers := s.shareIn(p)
	if now.share == 0 || share < shareDecrease*now.share || share > shareIncrease*now.share || servers != now.servers {
		now.share, now.servers = share, servers
	}
	return now
}

func (s *situation) nextPhase(now step) phase {
	switch {
	case s.servers == 0:
		return waiting
	case now.phase == waiting:
		return canary
	case !s.informed():
		// What the release does is not known.
		return now.phase
	case now.phase == canary && s.canaryDone(now) && !s.doubtful:
		return probe
	case now.phase == probe && s.probeDone(now) && !s.doubtful && s.storeReachable && s.carries():
		return full
	}
	return now.phase
}

// informed reports whether the counts of enough servers of the release arrive.
func (s *situation) informed() bool { return 2*s.reporting >= s.servers }

// canaryDone reports whether the probe may begin. Another controller may have had the
// release tried before.
func (s *situation) canaryDone(now step) bool {
	tried := s.elapsed-now.since >= minCanaryTime || s.exposed >= triedPart*canaryPart*s.beforeFull()
	return tried && s.elapsed >= s.fullAt()-s.probeTime()
}

// probeDone reports whether full service may begin.
func (s *situation) probeDone(now step) bool {
	if s.elapsed >= s.fullAt() && s.exposed >= triedPart*s.beforeFull() {
		return true
	}
	return s.elapsed-now.since >= min(s.probeTime(), max(s.fullAt()-now.since, minProbeTime))
}

// shareIn returns the share of the requests in a phase, and the number of servers that
// get them.
func (s *situation) shareIn(p phase) (float64, int) {
	switch p {
	case canary:
		share := s.affordable(canaryPart*s.beforeFull(), max(s.fullAt()-s.probeTime()-s.elapsed, minCanaryTime), maxCanaryShare)
		return share, min(max(int(math.Round(share*float64(s.servers))), 2), s.servers)
	case probe:
		servers, _ := s.probe()
		share := s.affordable(s.beforeFull(), max(s.fullAt()-s.elapsed, minProbeTime), float64(servers)/float64(s.servers))
		return min(share, s.carriedShare(), maxProbeShare), servers
	case full:
		return 1, 0
	}
	return 0, 0
}

// carriedShare returns the share of the requests that all servers of the release can take.
func (s *situation) carriedShare() float64 {
	if s.carries() || s.busy == 0 {
		return 1
	}
	return carriedLoad * float64(s.slots) / s.busy
}

// beforeFull returns the number of requests that the release may have got when full
// service begins.
func (s *situation) beforeFull() float64 {
	a := s.allowance()
	return min(max(a-s.rate*detectionTime.Seconds(), minProbePart*a), maxProbePart*a)
}

// affordable returns the share of the requests with which the release will have got a
// number of them after a time, up to a maximum.
func (s *situation) affordable(requests float64, in time.Duration, maximum float64) float64 {
	if s.rate == 0 {
		return min(initialShare, maximum)
	}
	return min(max((requests-s.exposed)/(s.rate*in.Seconds()), 0), maximum)
}
