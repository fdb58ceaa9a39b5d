package collect

import (
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

// expire drops what no longer counts at a time.
func (b *book) expire(now time.Duration) {
	for id, s := range b.senders {
		if now-s.at > b.window+inTouch {
			delete(b.senders, id)
			continue
		}
		for name, e := range s.accounts {
			if now-e.at > b.window+inTouch {
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
	for _, s := range b.senders {
		recent := now-s.at <= inTouch
		// A sender in touch goes on as it did: counting its latest report as older than
		// the next one makes rates and use look lower by the time between them.
		at := now
		if recent {
			at = s.at
			t.coverage.Daemons += s.daemons
			t.releases = append(t.releases, s.releases...)
		}
		present := s.present.Aged(at-s.at, b.window)
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
			c := e.count.Aged(at-e.at, b.window)
			if !recent {
				c.Offered = 0
			}
			n.Add(&c)
		}
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
