package collect

import (
	"slices"
	"time"

	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/rollout"
)

// inTouch is the age of a daemon's latest report up to which the daemon counts as covered.
const inTouch = time.Second

// book holds the latest reports of some daemons. What a lost daemon has admitted stays in
// the sums until the window has passed.
type book struct {
	window  time.Duration
	senders map[member.ServerID]*sender
	// former holds the last reports of senders that have started again since.
	former []*sender
	// changed holds the accounts that were in reports since takeChanged.
	changed map[string]bool
}

type sender struct {
	at       time.Duration
	daemons  int
	present  allowance.Series
	accounts map[string]*entry
	releases []rollout.Count
}

// entry is the count of one account, as reported at a time.
type entry struct {
	at    time.Duration
	count allowance.Count
}

func newBook(window time.Duration) *book {
	return &book{window: window, senders: map[member.ServerID]*sender{}, changed: map[string]bool{}}
}

// put records a report that was received at a time.
func (b *book) put(r *Report, at time.Duration) {
	s := b.senders[r.From]
	if s != nil && s.restarted(r) {
		b.former = append(b.former, s)
		s = nil
	}
	if s == nil {
		s = &sender{}
		b.senders[r.From] = s
	}
	if r.Whole || s.accounts == nil {
		s.accounts = make(map[string]*entry, len(r.Accounts))
	}
	s.at, s.daemons, s.present, s.releases = at, r.Daemons, r.Present, r.Releases
	for i := range r.Accounts {
		s.accounts[r.Accounts[i].Account] = &entry{at: at, count: r.Accounts[i]}
		b.changed[r.Accounts[i].Account] = true
	}
}

// restarted reports whether the sender has lost its earlier counts: the time for which it
// has counted is shorter than before. That of a failure domain also shrinks when daemons of
// it are lost, though by less.
func (s *sender) restarted(r *Report) bool {
	before := s.present.Total()
	if r.Sum {
		return r.Present.Total() < before/2
	}
	return r.Present.Total() < before-presentTolerance
}

// presentTolerance is more than what is lost when the presence in reports is rounded.
const presentTolerance = 0.1

// expire drops what no longer counts at a time.
func (b *book) expire(now time.Duration) {
	oldest := now - b.window - inTouch
	b.former = slices.DeleteFunc(b.former, func(s *sender) bool { return s.at < oldest })
	for id, s := range b.senders {
		if s.at < oldest {
			delete(b.senders, id)
			continue
		}
		for name, e := range s.accounts {
			if e.at < oldest {
				delete(s.accounts, name)
			}
		}
	}
}

// inTouch returns the number of daemons whose reports are recent, apart from one.
func (b *book) inTouch(now time.Duration, except member.ServerID) int {
	n := 0
	for id, s := range b.senders {
		if id != except && now-s.at <= inTouch {
			n += s.daemons
		}
	}
	return n
}

// total is the sum of the reports in some books.
type total struct {
	coverage allowance.Coverage
	accounts map[string]*allowance.Count
	releases []rollout.Count
}

// add adds the reports in a book as they count at a time.
func (t *total) add(b *book, now time.Duration) {
	for _, s := range b.former {
		t.addCounts(s, now, b.window, false)
	}
	for _, s := range b.senders {
		if now-s.at > inTouch {
			t.addCounts(s, now, b.window, false)
			continue
		}
		t.coverage.Daemons += s.daemons
		t.releases = append(t.releases, s.releases...)
		// A sender in touch goes on as it did: counting its latest report as older than
		// the next one makes rates and use look lower by the time between them.
		t.addCounts(s, s.at, b.window, true)
	}
}

// addCounts adds the counts of accounts in the report of a sender as they are at a time.
func (t *total) addCounts(s *sender, at, window time.Duration, recent bool) {
	present := s.present.Aged(at-s.at, window)
	t.coverage.Present.Add(&present)
	for name, e := range s.accounts {
		n := t.accounts[name]
		if n == nil {
			n = &allowance.Count{Account: name}
			t.accounts[name] = n
		}
		if at == e.at {
			n.Add(&e.count)
			continue
		}
		c := e.count.Aged(at-e.at, window)
		if !recent {
			c.Offered = 0
		}
		n.Add(&c)
	}
}

// sum returns the sum of the reports in books as they count at a time.
func sum(now time.Duration, books ...*book) *total {
	t := &total{accounts: map[string]*allowance.Count{}}
	for _, b := range books {
		b.expire(now)
		t.add(b, now)
	}
	t.releases = rollout.Merge(t.releases)
	return t
}

// report returns the sum as the report of a failure domain. Unless whole is set, it holds
// only the accounts in changed.
func (t *total) report(from member.ServerID, whole bool, changed map[string]bool) *Report {
	r := &Report{From: from, Sum: true, Daemons: t.coverage.Daemons, Present: t.coverage.Present, Whole: whole, Releases: t.releases}
	for name, c := range t.accounts {
		if whole || changed[name] {
			r.Accounts = append(r.Accounts, *c)
		}
	}
	return r
}

// takeChanged returns the accounts that were in reports since the last call.
func (b *book) takeChanged() map[string]bool {
	changed := b.changed
	b.changed = map[string]bool{}
	return changed
}
