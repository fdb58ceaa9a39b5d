package rollout

import (
	"math"
	"testing"
	"time"
)

// timedCount is the count of n answers that took a time each, with some spread.
func timedCount(release string, n uint64, each time.Duration) Count {
	mean := math.Log(each.Seconds())
	return Count{
		Service: "lookup", Release: release, Class: "search", Answered: n, Timed: n, Total: time.Duration(n) * each,
		LogSum: float64(n) * mean, LogSquares: float64(n) * (mean*mean + 0.2),
	}
}

// Guards against a good release that is rolled back while daemons are cut off: the calls
// that its few servers make wait for them.
func TestRunTimesAreNotJudgedWhileDaemonsAreCutOff(t *testing.T) {
	p := newProgress("v2", Limits{Share: 0.1, Slack: 50, Within: 5 * time.Second})
	observe := func(from, to int, covered float64) verdict {
		for i := from; i < to; i++ {
			n := uint64(i)
			p.observe(time.Duration(i)*100*time.Millisecond, []Count{
				{Service: "lookup", Release: "v2", Servers: 4, Active: 4},
				timedCount("v2", 5*n, time.Second), timedCount("v1", 50*n, 200*time.Millisecond),
			})
			p.covered = covered
		}
		return p.verdict()
	}
	if v := observe(0, 40, 0.65); v.bad {
		t.Errorf("with the counts of 65%% of the daemons: %+v, want no judgement on run times", v)
	}
	if v := observe(40, 80, 1); !v.bad {
		t.Errorf("with the counts of all daemons: %+v, want a bad release", v)
	}
}
