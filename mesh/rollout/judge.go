package rollout

import (
	"fmt"
	"math"
)

const (
	// badChance is the chance, if the release were as good as the others, below which its
	// failures count as its own, and oneServerChance the same for failures of one of several
	// servers, which may have a fault of its own; doubtfulChance is that below which the
	// rollout does not go on, and slightChance that below which it is not completed early.
	badChance       = 1e-4
	oneServerChance = 1e-6
	doubtfulChance  = 2e-3
	slightChance    = 3e-2
	// minFailures is the number of failures below which nothing is concluded from them, but
	// for the completion.
	minFailures = 3
	// minBadShare is the share of failed answers below which a release is not called bad
	// for its failures.
	minBadShare = 0.08
	// minExcess is the least ratio of failures to the expected ones in a bad release.
	minExcess = 2
	// faultFactor and faultOffset widen the expected failures, since faults fail several
	// calls at once.
	faultFactor = 1.5
	faultOffset = 0.1
	// badSlowdown is the ratio of run times above which a release is bad,
	// doubtfulSlowdown that above which the rollout waits. Servers of one release differ by
	// 0.5 to 1.6 in speed, and the few that serve an unproven release may be slow ones.
	badSlowdown      = 2.7
	doubtfulSlowdown = 2
	// minTimed and minTimedOfClass are the least numbers of run times that are compared.
	minTimed        = 15
	minTimedOfClass = 10
	// badDeviations, doubtfulDeviations and slightDeviations are how many standard deviations
	// a slowdown must exceed no slowdown by; a single class needs classDeviations more, as
	// there are many.
	badDeviations      = 4
	classDeviations    = 0.5
	doubtfulDeviations = 3.5
	slightDeviations   = 2
	// minLogVariance bounds the variance of logarithms of run times that is estimated from
	// few of them.
	minLogVariance = 0.1
)

// tally is what the servers of one side have counted in one class.
type tally struct {
	answered, failed, timed float64
	logSum, logSquares      float64
}

func (t *tally) add(c *Count) {
	t.answered += float64(c.Answered)
	t.failed += float64(c.Failed)
	t.timed += float64(c.Timed)
	t.logSum += c.LogSum
	t.logSquares += c.LogSquares
}

func (t tally) minus(o tally) tally {
	return tally{t.answered - o.answered, t.failed - o.failed, t.timed - o.timed, t.logSum - o.logSum, t.logSquares - o.logSquares}
}

// logMean returns the mean of the logarithms of the run times and their variance.
func (t *tally) logMean() (mean, variance float64) {
	mean = t.logSum / t.timed
	return mean, max(t.logSquares/t.timed-mean*mean, minLogVariance)
}

// classTally compares the release with the others in one class.
type classTally struct {
	release, others tally
	// expected is the number of calls that the release would have failed if it failed as
	// often as the others at the same time.
	expected float64
}

func (c classTally) minus(o classTally) classTally {
	return classTally{c.release.minus(o.release), c.others.minus(o.others), c.expected - o.expected}
}

// evidence is what daemons have counted in a period of time.
type evidence struct {
	classes map[string]classTally
	// runTimes means that run times are judged, too.
	runTimes bool
	// active and failing are the numbers of servers of the release that answered lately,
	// and of those with answers that failed.
	active, failing int
	// certainFailures is the number of failures that calls for a decision on less evidence.
	certainFailures float64
}

// verdict is a judgement of a release.
type verdict struct {
	bad, doubtful, slightlyDoubtful bool
	// reason holds the numbers that decided; it is empty for a release without signs of a
	// fault.
	reason string
}

// worse returns the more severe of two verdicts.
func (v verdict) worse(o verdict) verdict {
	slight := v.slightlyDoubtful || o.slightlyDoubtful
	if o.bad && !v.bad || o.doubtful && !v.bad && !v.doubtful {
		v = o
	}
	v.slightlyDoubtful = slight
	return v
}

// judge compares a release with the others, class by class and over all classes.
func judge(e *evidence) verdict {
	var all classTally
	var v verdict
	for name, c := range e.classes {
		all.release.answered += c.release.answered
		all.release.failed += c.release.failed
		all.expected += c.expected
		v = v.worse(e.judgeFailures(&c, "class "+name))
		if !e.runTimes {
			continue
		}
		v = v.worse(judgeRunTimes(map[string]classTally{name: c}, minTimedOfClass, badDeviations+classDeviations, "class "+name))
	}
	v = v.worse(e.judgeFailures(&all, "all classes"))
	if !e.runTimes {
		return v
	}
	return v.worse(judgeRunTimes(e.classes, minTimed, badDeviations, "all classes"))
}

// judgeFailures compares the failures with the expected ones.
func (e *evidence) judgeFailures(c *classTally, of string) verdict {
	n, failures := c.release.answered, c.release.failed
	if failures < minBadShare*n || failures < minExcess*c.expected {
		return verdict{}
	}
	chance := poissonTail(failures, faultFactor*c.expected+faultOffset)
	if chance >= doubtfulChance || failures < minFailures {
		return verdict{slightlyDoubtful: chance < slightChance && failures > 1}
	}
	reason := fmt.Sprintf("%s: %.0f of %.0f answers failed, expected %.2f as in other releases, at %d of %d servers",
		of, failures, n, c.expected, e.failing, e.active)
	enough := chance < badChance || failures >= e.certainFailures
	if e.failing < min(2, e.active) {
		enough = chance < oneServerChance
	}
	return verdict{bad: enough, doubtful: true, reason: reason}
}

// poissonTail returns the chance of at least n events when mean are expected.
func poissonTail(n, mean float64) float64 {
	term, below := math.Exp(-mean), 0.0
	for k := 1.0; k <= n; k++ {
		below += term
		term *= mean / k
	}
	return max(1-below, 0)
}

// judgeRunTimes compares the logarithms of run times class by class, so that the release
// is not called slow for getting more of the slow classes.
func judgeRunTimes(classes map[string]classTally, minTimes, deviations float64, of string) verdict {
	var weights, weighted, timed float64
	for _, c := range classes {
		if c.release.timed < 1 || c.others.timed < minTimedOfClass {
			continue
		}
		mean, variance := c.release.logMean()
		otherMean, otherVariance := c.others.logMean()
		// A release that is slower by a factor has the same variance; that of few run times
		// may be far too low by chance.
		variance = max(variance, otherVariance)
		weight := 1 / (variance/c.release.timed + otherVariance/c.others.timed)
		weights += weight
		weighted += weight * (mean - otherMean)
		timed += c.release.timed
	}
	if timed < minTimes || weights == 0 {
		return verdict{}
	}
	slowdown, score := weighted/weights, weighted/math.Sqrt(weights)
	if slowdown < math.Log(doubtfulSlowdown) || score < deviations-badDeviations+doubtfulDeviations {
		return verdict{slightlyDoubtful: slowdown >= math.Log(doubtfulSlowdown) && score >= slightDeviations}
	}
	reason := fmt.Sprintf("%s: run times are %.1f times those of other releases, %.1f standard deviations, in %.0f answers",
		of, math.Exp(slowdown), score, timed)
	return verdict{bad: slowdown >= math.Log(badSlowdown) && score >= deviations, doubtful: true, reason: reason}
}
