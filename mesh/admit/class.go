package admit

import (
	"math"
	"time"

	"fescuehoist.example/mesh/target"
)

const (
	// QueuePerSlot is how many calls of a class may wait for each slot.
	QueuePerSlot = 4
	// minSlots is the least number of slots that an estimate divides by.
	minSlots = 0.5
	// gateLatencyShare is the share of a class's target latency that queueing
	// and running may take together; the rest is for the network.
	gateLatencyShare = 0.75
	// minQueueTimeRatio is the least maximum queue time, as a share of the
	// service time.
	minQueueTimeRatio = 0.25
	// serviceTimeGain is the weight of one call in the moving average of the
	// service time.
	serviceTimeGain = 0.05
	// demandWindow is the time over which the demand of a class is averaged.
	demandWindow = 300 * time.Millisecond
	// reservedShare is the share of a class's demand for which slots are
	// reserved. It is below 1 as the class's own calls free slots when they
	// end.
	reservedShare = 0.5
	// unreservedDemand is the demand for which no slot is reserved.
	unreservedDemand = 0.1
	// maxClasses bounds the classes whose state is kept.
	maxClasses = 256
)

// class is the gate's state of one class of work.
type class struct {
	target  *target.Class
	queue   fairQueue
	running int
	// serviceTime is the moving average of the service time, 0 before any call
	// has ended; unloadedTime is that of calls that ran while few others did.
	serviceTime, unloadedTime time.Duration
	// virtualStart is when the next call of the class's guaranteed share may
	// start.
	virtualStart time.Time
	// demand is the mean number of running and queued calls, as of demandAt.
	demand   float64
	demandAt time.Time
}

// classKey identifies a class. Calls of client accounts with ranks of their own form
// classes of their own.
type classKey struct {
	name string
	rank int
}

func keyOf(t *target.Class) classKey { return classKey{t.Name, t.Rank} }

// classes holds the state of the classes.
type classes map[classKey]*class

// get returns the state of a class and updates its target.
func (cs classes) get(t *target.Class) *class {
	c := cs[keyOf(t)]
	if c == nil {
		cs.evictIdle()
		c = &class{}
		cs[keyOf(t)] = c
	}
	c.target = t
	return c
}

// evictIdle drops all classes without calls once there are maxClasses.
func (cs classes) evictIdle() {
	if len(cs) < maxClasses {
		return
	}
	for key, c := range cs {
		if c.running == 0 && c.queue.len() == 0 {
			delete(cs, key)
		}
	}
}

// belowGuarantee reports whether the class has had less than its guaranteed
// share.
func (c *class) belowGuarantee(now time.Time) bool {
	return c.target.GuaranteedShare > 0 && !c.virtualStart.After(now)
}

// updateDemand adds the present number of running and queued calls to the mean
// demand. It must be called before that number changes.
func (c *class) updateDemand(now time.Time) {
	elapsed := now.Sub(c.demandAt)
	c.demandAt = now
	c.demand += (float64(c.running+c.queue.len()) - c.demand) * (1 - math.Exp(-float64(elapsed)/float64(demandWindow)))
}

// recentDemand returns the mean demand, less what has passed since its last change
// if there are no calls now.
func (c *class) recentDemand(now time.Time) float64 {
	if c.running+c.queue.len() > 0 {
		return c.demand
	}
	return c.demand * math.Exp(-float64(now.Sub(c.demandAt))/float64(demandWindow))
}

// moreUrgent orders classes by rank, and those of the same rank by target latency:
// a call with a short target is soon too late, and takes a slot for a short time.
// Calls that a backend server makes while it runs a request are such calls; the
// slot that waits for them is lost if they are refused.
func (c *class) moreUrgent(other *class) bool {
	if c.target.Rank != other.target.Rank {
		return c.target.Rank < other.target.Rank
	}
	return c.target.Latency < other.target.Latency
}

// precedes orders classes by urgency, and equally urgent ones by virtual start time.
func (c *class) precedes(other *class) bool {
	if c.moreUrgent(other) || other.moreUrgent(c) {
		return c.moreUrgent(other)
	}
	return c.virtualStart.Before(other.virtualStart)
}

// charge counts one call against the guaranteed share of the class. A class
// that had less than its share catches up by at most one service time; one that
// had more waits for at most one call.
func (c *class) charge(now time.Time, limit float64, rate *rateLimit) {
	guaranteed := max(c.target.GuaranteedShare*limit, minSlots)
	cost := max(time.Duration(float64(c.serviceTime)/guaranteed), rate.interval(c.target.GuaranteedShare))
	if earliest := now.Add(-c.serviceTime); c.virtualStart.Before(earliest) {
		c.virtualStart = earliest
	}
	c.virtualStart = earlier(c.virtualStart.Add(cost), now.Add(cost))
}

// maxQueueTime returns how long a call may wait in the queue and still be
// answered in time, given the time it has spent elsewhere.
func (c *class) maxQueueTime(spent time.Duration) time.Duration {
	return MaxQueueTime(c.target.Latency, spent, c.serviceTime)
}

// MaxQueueTime returns how long a call of a class with the given target latency
// and service time may wait for a slot, given the time it has spent elsewhere.
func MaxQueueTime(latency, spent, service time.Duration) time.Duration {
	remaining := time.Duration(gateLatencyShare*float64(latency)) - spent - service
	return max(remaining, time.Duration(minQueueTimeRatio*float64(service)))
}

// decayServiceTime lowers the service time for which a call was refused: while
// all calls are refused, none ends to correct it.
func (c *class) decayServiceTime() {
	c.serviceTime -= time.Duration(serviceTimeGain * float64(c.serviceTime))
}

// observeServiceTime adds the service time of one call to the averages and
// returns its ratio to the unloaded time; unloaded says whether few other calls
// ran at the same time.
func (c *class) observeServiceTime(elapsed time.Duration, unloaded bool) float64 {
	// Time beyond the timeout, for example in a frozen server, says nothing
	// about the service time.
	elapsed = min(elapsed, c.target.Timeout)
	c.serviceTime = movingAverage(c.serviceTime, elapsed, serviceTimeGain)
	if c.unloadedTime == 0 || elapsed < c.unloadedTime || unloaded {
		c.unloadedTime = movingAverage(c.unloadedTime, elapsed, serviceTimeGain)
	}
	return float64(elapsed) / float64(max(c.unloadedTime, 1))
}

func movingAverage(old, sample time.Duration, gain float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(gain*float64(sample-old))
}
