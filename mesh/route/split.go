package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/rollout"
)

// split divides the servers of a service for which there is an order.
type split struct {
	active *rollout.Active
	// release holds the servers of the release, in an order that is the same at all
	// daemons; others holds those of other releases.
	release, others []*member.Record
	// alone means that there are no servers but those of the release and those of one
	// which must be avoided.
	alone bool
}

func newSplit(active *rollout.Active, servers []*member.Record) *split {
	s := &split{active: active}
	avoided := false
	for _, r := range servers {
		switch {
		case r.Release == active.Release:
			s.release = append(s.release, r)
		case active.Avoid != "" && r.Release == active.Avoid:
			avoided = true
		default:
			s.others = append(s.others, r)
		}
	}
	s.alone = avoided && len(s.others) == 0
	slices.SortFunc(s.release, member.CompareHash)
	return s
}

// candidates returns the servers for a call, and those to use if none of them can take it.
// Retries do not go to a release that is not proven.
func (s *split) candidates(q *Query) (first, second []*member.Record) {
	share := s.active.CurrentShare()
	if s.alone && s.active.State == rollout.Running {
		share = 1
	}
	if q.Draw >= share || (len(q.Tried) > 0 && share < 1) {
		return s.others, nil
	}
	if s.active.State != rollout.Running || share >= 1 {
		return s.release, nil
	}
	n := len(s.release)
	if s.active.Servers > 0 {
		n = min(n, s.active.Servers)
	}
	return s.release[:n], s.others
}

// active returns the direction that the route applies, or nil.
func (s *Service) active() *rollout.Active {
	if s.split == nil {
		return nil
	}
	return s.split.active
}

// candidates returns the servers for a call, and those to use if none of them can take it.
func (s *Service) candidates(q *Query) (first, second []*member.Record) {
	if s.split == nil {
		return s.Servers, nil
	}
	return s.split.candidates(q)
}

// aloneTime is how long a release must have been the only one before others are new beside
// it. A starting daemon receives the records of all servers in less time.
const aloneTime = 500 * time.Millisecond

// usedAlone returns the release that was there for aloneTime before any other, if there is
// one.
func usedAlone(appeared map[string]time.Duration) string {
	byAge := slices.SortedFunc(maps.Keys(appeared), func(a, b string) int { return cmp.Compare(appeared[a], appeared[b]) })
	if appeared[byAge[1]]-appeared[byAge[0]] < aloneTime {
		return ""
	}
	return byAge[0]
}

// holdBack leaves the releases out that appeared beside others so lately that there may be
// an order for them which this daemon has not heard of. Where there is one release, or a
// direction, nothing is left out. A starting daemon may so be without servers of a service
// with several releases, until the first directions come or a time without any has passed;
// and of any service as long as it has neither read the orders nor heard of directions.
func (s *Service) holdBack(previous *Service, directions *rollout.Directions) {
	appeared := map[string]time.Duration{}
	if previous != nil {
		appeared = previous.appeared
	}
	s.appeared = make(map[string]time.Duration, 1)
	now := directions.Now()
	for _, r := range s.Servers {
		if at, known := appeared[r.Release]; known {
			s.appeared[r.Release] = at
		} else {
			s.appeared[r.Release] = now
		}
	}
	started := directions.Started()
	if s.split != nil || (started && len(s.appeared) < 2) {
		return
	}
	isNew := maps.Clone(s.appeared)
	maps.DeleteFunc(isNew, func(_ string, at time.Duration) bool { return directions.Settled(at) })
	if started && len(isNew) == len(s.appeared) {
		delete(isNew, usedAlone(s.appeared))
	}
	if len(isNew) == 0 {
		return
	}
	s.held = true
	s.Servers = slices.DeleteFunc(s.Servers, func(r *member.Record) bool {
		_, found := isNew[r.Release]
		return found
	})
}
