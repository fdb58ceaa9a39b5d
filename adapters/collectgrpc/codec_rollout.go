package collectgrpc

import (
	"fmt"
	"math"
	"time"

	"fescuehoist.example/adapters/collectgrpc/collectpb"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/rollout"
	"fescuehoist.example/mesh/target"
)

func encodeCount(c *rollout.Count) *collectpb.Release {
	return &collectpb.Release{
		Service: c.Service, Release: c.Release, Class: c.Class, Order: c.Order.Number, OrderEpoch: c.Order.Epoch, Target: c.Target, State: uint32(c.State),
		HeardMicros: encodeMicros(c.Heard), Servers: uint32(c.Servers), Idle: uint32(c.Idle), Active: uint32(c.Active), Failing: uint32(c.Failing),
		Answered: c.Answered, Failed: c.Failed, TotalMicros: encodeMicros(c.Total), Timed: c.Timed, LogSum: c.LogSum, LogSquares: c.LogSquares,
	}
}

func encodeMicros(d time.Duration) uint64 { return uint64(max(d.Microseconds(), 0)) }

// encodeAge rounds up, since an age must not be stated as younger than it is.
func encodeAge(d time.Duration) uint64 { return encodeMicros(d) + 1 }

func decodeCount(in *collectpb.Release) (rollout.Count, error) {
	if !target.UsableService(in.GetService()) || len(in.GetClass()) > maxName || len(in.GetRelease()) > rollout.MaxReleaseLength || len(in.GetTarget()) > rollout.MaxReleaseLength || in.GetState() > uint32(rollout.Completed) {
		return rollout.Count{}, fmt.Errorf("counts of service %.80q, class %.80q, release %.80q, target %.80q, state %d; want valid names and a state of at most %d",
			in.GetService(), in.GetClass(), in.GetRelease(), in.GetTarget(), in.GetState(), rollout.Completed)
	}
	if !isFinite(in.GetLogSum()) || !isFinite(in.GetLogSquares()) {
		return rollout.Count{}, fmt.Errorf("run times of service %.80q add up to %g and %g, want finite numbers", in.GetService(), in.GetLogSum(), in.GetLogSquares())
	}
	return rollout.Count{
		Service: in.GetService(), Release: in.GetRelease(), Class: in.GetClass(), Order: revision.Revision{Epoch: in.GetOrderEpoch(), Number: in.GetOrder()}, Target: in.GetTarget(), State: rollout.State(in.GetState()),
		Heard: micros(in.GetHeardMicros()), Servers: servers(in.GetServers()), Idle: servers(in.GetIdle()), Active: servers(in.GetActive()), Failing: servers(in.GetFailing()),
		Answered: in.GetAnswered(), Failed: in.GetFailed(), Total: micros(in.GetTotalMicros()), Timed: in.GetTimed(), LogSum: in.GetLogSum(), LogSquares: in.GetLogSquares(),
	}, nil
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// servers bounds a number of servers, of which there is one for each daemon.
func servers(n uint32) int { return int(min(n, maxDaemons)) }

func encodeDirection(d *rollout.Direction) *collectpb.Direction {
	return &collectpb.Direction{
		Service: d.Service, Release: d.Release, Share: uint32(round(d.Share, tenThousandths)), State: uint32(d.State),
		Servers: uint32(d.Servers), Order: d.Order.Number, OrderEpoch: d.Order.Epoch, AgeMicros: encodeAge(d.Age),
	}
}

// decodeDirection decodes a direction. One without a service marks the list as complete.
func decodeDirection(in *collectpb.Direction) (rollout.Direction, error) {
	if (in.GetService() != "" && !target.UsableService(in.GetService())) || len(in.GetRelease()) > rollout.MaxReleaseLength || in.GetState() > uint32(rollout.Completed) {
		return rollout.Direction{}, fmt.Errorf("direction for service %.80q, release %.80q, state %d; want valid names and a state of at most %d",
			in.GetService(), in.GetRelease(), in.GetState(), rollout.Completed)
	}
	return rollout.Direction{
		Service: in.GetService(), Release: in.GetRelease(), Share: fraction(in.GetShare()), State: rollout.State(in.GetState()),
		Servers: servers(in.GetServers()), Order: revision.Revision{Epoch: in.GetOrderEpoch(), Number: in.GetOrder()}, Age: micros(in.GetAgeMicros()),
	}, nil
}
