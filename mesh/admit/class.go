package admit

import (
	"math"
	"time"

	"fescuehoist.example/mesh/target"
)

const (
	// QueuePerSlot is how many calls of a class may wait for each slot.
	QueuePerSlot = 4
	// leastSlots is the least number of slots that an estimate counts on.
	leastSlots = 0.5
	// queueShare is the part of a class's latency that waiting and running at
	// the gate may take together; the rest is for the way to the caller.
	queueShare = 0.75
	// minPatience is the least time in the queue, as a part of the service
	// time.
	minPatience = 0.25
	// serviceGain is the weight of one call in the mean service time.
	serviceGain = 0.05
	// demandWindow is the time over which the demand of a class is averaged.
	demandWindow = 300 * time.Millisecond
	// heldShare is the part of the demand of a class that slots are held for: its
	// own calls end as well, and free theirs.
	heldShare = 0.5
	// demandSlack is the demand for which no slot is held.
	demandSlack = 0.1
	// maxClasses bounds the classes remembered.
	maxClasses = 256
)

// class is the gate's state of one class of work.
type class struct {
	target  *target.Class
	queue   fairQueue
	running int
	// service is the mean service time, 0 before any call has ended; unloaded
	// is the same of calls that ran beside few others.
	service, unloaded time.Duration
	// due is when the next call of the share that the class keeps may start.
	due time.Time
	// demand is the mean number of calls that run or wait, as of observed.
	demand   float64
	observed time.Time
}

// classes holds the classes by name.
type classes map[string]*class

// get returns the state of a class, with its newest target.
func (cs classes) get(t *target.Class) *class {
	c := cs[t.Name]
	if c == nil {
		cs.forgetIdle()
		c = &class{}
		cs[t.Name] = c
	}
	c.target = t
	return c
}

// forgetIdle makes room for a new class.
func (cs classes) forgetIdle() {
	if len(cs) < maxClasses {
		return
	}
	for name, c := range cs {
		if c.running == 0 && c.queue.len() == 0 {
			delete(cs, name)
		}
	}
}

// overdue reports whether the class has had less than the share that it keeps.
func (c *class) overdue(now time.Time) bool { return c.target.GuaranteedShare > 0 && !c.due.After(now) }

// observe takes the calls that run and wait into the mean demand, before they
// change.
func (c *class) observe(now time.Time) {
	passed := now.Sub(c.observed)
	c.observed = now
	c.demand += (float64(c.running+c.queue.len()) - c.demand) * (1 - math.Exp(-float64(passed)/float64(demandWindow)))
}

// before orders classes by rank; those of one rank take turns by their dues.
func (c *class) before(other *class) bool {
	if c.target.Rank != other.target.Rank {
		return c.target.Rank < other.target.Rank
	}
	return c.due.Before(other.due)
}

// charge counts one call against the share that the class keeps. A class that
// had less than its share catches up by one service time at most; one that had
// more waits for one call at most.
func (c *class) charge(now time.Time, limit float64) {
	kept := max(c.target.GuaranteedShare*limit, leastSlots)
	cost := time.Duration(float64(c.service) / kept)
	if oldest := now.Add(-c.service); c.due.Before(oldest) {
		c.due = oldest
	}
	c.due = earlier(c.due.Add(cost), now.Add(cost))
}

// patience returns how long a call may wait and still be answered in time, of
// which it has spent some elsewhere.
func (c *class) patience(spent time.Duration) time.Duration {
	return MaxQueueTime(c.target.Latency, spent, c.service)
}

// MaxQueueTime returns how long a call of a class with the given target latency and
// service time may wait for a slot, once it has spent some time elsewhere.
func MaxQueueTime(latency, spent, service time.Duration) time.Duration {
	in := time.Duration(queueShare*float64(latency)) - spent - service
	return max(in, time.Duration(minPatience*float64(service)))
}

// doubt lowers the service time that a call was refused by: without calls that
// run, nothing else would.
func (c *class) doubt() { c.service -= time.Duration(serviceGain * float64(c.service)) }

// learn takes the service time of one call, which ran almost alone or not, and
// returns how many times the unloaded one it was.
func (c *class) learn(took time.Duration, alone bool) float64 {
	// A call that outlasts its timeout says no more than that.
	took = min(took, c.target.Timeout)
	c.service = mean(c.service, took, serviceGain)
	if c.unloaded == 0 || took < c.unloaded || alone {
		c.unloaded = mean(c.unloaded, took, serviceGain)
	}
	return float64(took) / float64(max(c.unloaded, 1))
}

func mean(old, sample time.Duration, gain float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(gain*float64(sample-old))
}
