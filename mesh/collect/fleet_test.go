package collect_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/collect"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

const (
	window = 5 * time.Second
	// step is the time between the requests that the tests make together.
	step = 10 * time.Millisecond
)

// peer is one daemon of a fleet that counts requests.
type peer struct {
	id        member.ServerID
	index     int
	members   *member.Table
	configs   *manifest.Store
	counter   *allowance.Counter
	collector *collect.Collector
	stop      context.CancelFunc
	up        bool
}

// fleet connects the collectors of daemons in memory.
type fleet struct {
	t        *testing.T
	accounts []target.Account
	peers    []*peer
	tasks    sync.WaitGroup

	mu sync.Mutex
	// cut reports whether two daemons cannot reach each other; nil means no.
	cut     func(a, b int) bool
	reports int
	// admitted and refused hold the times of requests by account.
	admitted map[string][]time.Duration
	refused  map[string][]time.Duration
	start    time.Time
}

// runFleet runs f with n daemons in four failure domains. It uses one processor: the race
// detector of Go 1.26 crashes when two of them run timers of one bubble.
func runFleet(t *testing.T, n int, accounts []target.Account, f func(*fleet)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{t: t, accounts: accounts, admitted: map[string][]time.Duration{}, refused: map[string][]time.Duration{}, start: time.Now()}
		for i := range n {
			fl.peers = append(fl.peers, &peer{id: member.ServerID(fmt.Sprintf("server-%d", i)), index: i})
		}
		for _, p := range fl.peers {
			fl.startPeer(p)
		}
		// Daemons that start count their part of a window as spent.
		time.Sleep(window + time.Second)
		f(fl)
		for _, p := range fl.peers {
			fl.kill(p)
		}
		fl.tasks.Wait()
	})
}

func (f *fleet) startPeer(p *peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.members, p.configs = member.NewTable(p.id), manifest.NewStore()
	for i, other := range f.peers {
		r := member.Record{Server: other.id, Incarnation: 1, State: member.Ready, Domain: fmt.Sprint("domain-", i%4), PeerAddress: string(other.id)}
		if other == p {
			p.members.Announce(r)
		} else {
			p.members.Merge([]member.Record{r})
		}
	}
	f.configure(p, 1, f.accounts)
	p.counter = allowance.NewCounter(window, p.configs.Now)
	cfg := collect.DefaultConfig(window)
	cfg.VerifyAccounts = true
	p.collector = collect.New(cfg, p.id, fmt.Sprint("domain-", p.index%4), p.members, p.configs, p.counter, &link{f, p}, discard{})
	members := p.members
	p.collector.FleetSize = func() int { return members.Size(time.Minute) }
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.up = cancel, true
	collector := p.collector
	f.tasks.Go(func() { _ = collector.Run(ctx) })
}

func (f *fleet) configure(p *peer, version int, accounts []target.Account) {
	if _, err := p.configs.ApplyFull(manifest.Version(version), nil, accounts, nil); err != nil {
		f.t.Error(err)
	}
}

func (f *fleet) kill(p *peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.up = false
	p.stop()
}

func (f *fleet) setCut(cut func(a, b int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

type discard struct{}

func (discard) Infof(string, ...any) {}
func (discard) Warnf(string, ...any) {}

// link carries the reports of one daemon, with 1 ms on the way.
type link struct {
	fleet *fleet
	from  *peer
}

var errCut = errors.New("cut off")

func (l *link) Report(ctx context.Context, address string, r *collect.Report) (*collect.Reply, error) {
	time.Sleep(time.Millisecond)
	l.fleet.mu.Lock()
	l.fleet.reports++
	var to *peer
	for _, p := range l.fleet.peers {
		if string(p.id) == address {
			to = p
		}
	}
	lost := l.fleet.cut != nil && l.fleet.cut(l.from.index, to.index)
	collector, up := to.collector, to.up
	l.fleet.mu.Unlock()
	switch {
	case lost:
		<-ctx.Done()
		return nil, ctx.Err()
	case !up:
		return nil, errCut
	}
	reply, err := collector.Receive(r)
	time.Sleep(time.Millisecond)
	return reply, err
}

// callers is the load of one account.
type callers struct {
	account *target.Account
	rate    float64
	// at returns the daemon of the next request.
	at func() int
}

func anywhere(n int) func() int { return func() int { return rand.IntN(n) } }

func only(daemons ...int) func() int { return func() int { return daemons[rand.IntN(len(daemons))] } }

// offer makes requests for a time. Requests to daemons that are down are not made.
func (f *fleet) offer(d time.Duration, load ...callers) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		now := time.Since(f.start)
		for _, c := range load {
			for range poisson(c.rate * step.Seconds()) {
				p := f.peers[c.at()]
				if !p.up {
					continue
				}
				account := p.configs.Snapshot().Accounts().ByName(c.account.Name)
				if _, _, admitted := p.counter.Admit(account); admitted {
					f.admitted[account.Name] = append(f.admitted[account.Name], now)
				} else {
					f.refused[account.Name] = append(f.refused[account.Name], now)
				}
			}
		}
	}
}

// poisson draws the number of requests in a step.
func poisson(mean float64) int {
	n, limit, product := 0, math.Exp(-mean), rand.Float64()
	for ; product > limit; n++ {
		product *= rand.Float64()
	}
	return n
}

// requireBound fails the test if more requests were admitted within any window that began
// after a time than an account's limit allows.
func (f *fleet) requireBound(a *target.Account, after time.Duration) {
	f.t.Helper()
	bound := int((a.Rate*window.Seconds()+a.Burst)*1.1 + 20)
	most, first := 0, 0
	times := f.admitted[a.Name]
	for first < len(times) && times[first] < after {
		first++
	}
	for i := first; i < len(times); i++ {
		for times[i]-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	f.t.Logf("account %s: at most %d requests in a window, bound %d; %d admitted, %d refused", a.Name, most, bound, len(times), len(f.refused[a.Name]))
	if most > bound {
		f.t.Errorf("account %s: %d requests ran in a window, want at most %d", a.Name, most, bound)
	}
}

// requireServed fails the test unless a share of the requests of an account was admitted.
func (f *fleet) requireServed(a *target.Account, share float64) {
	f.t.Helper()
	admitted, refused := float64(len(f.admitted[a.Name])), float64(len(f.refused[a.Name]))
	if admitted < share*(admitted+refused) {
		f.t.Errorf("account %s: %.0f requests admitted and %.0f refused, want %.3f of them admitted", a.Name, admitted, refused, share)
	}
}

// requireServedAsByOneBucket fails the test if more requests of an account were refused than
// by a single token bucket that all requests pass.
func (f *fleet) requireServedAsByOneBucket(a *target.Account) {
	f.t.Helper()
	times := slices.Concat(f.admitted[a.Name], f.refused[a.Name])
	slices.Sort(times)
	tokens, last, refused := a.Burst, time.Duration(0), 0
	for _, at := range times {
		tokens = min(tokens+a.Rate*(at-last).Seconds(), a.Burst)
		last = at
		if tokens < 1 {
			refused++
			continue
		}
		tokens--
	}
	if n := len(f.refused[a.Name]); n > refused {
		f.t.Errorf("account %s: %d of %d requests refused, by one bucket %d", a.Name, n, len(times), refused)
	}
}

func (f *fleet) forget() { clear(f.admitted); clear(f.refused) }

// account returns an account whose limit is 1.6 times its usual rate.
func account(name string, usual float64) target.Account {
	return target.Account{Name: name, Rate: 1.6 * usual, Burst: 1.6 * usual}
}

// powerLaw returns accounts with sizes that follow a power law with exponent 1.2 and make
// 1,388 requests a second together.
func powerLaw() (accounts []target.Account, usual []float64) {
	var total float64
	for i := range 78 {
		total += math.Pow(float64(i+1), -1.2)
	}
	for i := range 78 {
		rate := 1388 * math.Pow(float64(i+1), -1.2) / total
		usual = append(usual, rate)
		accounts = append(accounts, account(fmt.Sprintf("account-%d", i), rate))
	}
	return accounts, usual
}

// usualLoad returns the usual requests of all accounts, to any of n daemons.
func usualLoad(accounts []target.Account, usual []float64, n int) []callers {
	var load []callers
	for i := range accounts {
		load = append(load, callers{&accounts[i], usual[i], anywhere(n)})
	}
	return load
}

// offerAll makes three times as many requests as the accounts may make.
func (f *fleet) offerAll(d time.Duration) {
	var load []callers
	for i := range f.accounts {
		load = append(load, callers{&f.accounts[i], 3 * f.accounts[i].Rate, anywhere(len(f.peers))})
	}
	f.offer(d, load...)
}

func (f *fleet) killAll(which func(int) bool) {
	for i, p := range f.peers {
		if which(i) {
			f.kill(p)
		}
	}
}

// restart kills daemons and starts them again after a while.
func (f *fleet) restart(which func(int) bool, meanwhile func(time.Duration)) {
	f.killAll(which)
	meanwhile(300 * time.Millisecond)
	for i, p := range f.peers {
		if which(i) {
			f.startPeer(p)
		}
	}
}

// collector returns the fleet's collector.
func (f *fleet) collector() *peer {
	id := f.peers[0].collector.Status().Fleet
	for _, p := range f.peers {
		if p.id == id {
			return p
		}
	}
	f.t.Fatalf("collector %q is none of the daemons", id)
	return nil
}

// requireReports fails the test unless the number of reports in 5 s is in a range.
func (f *fleet) requireReports(least, most int) {
	f.t.Helper()
	f.mu.Lock()
	before := f.reports
	f.mu.Unlock()
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.reports - before; n < least || n > most {
		f.t.Errorf("%d reports in 5 s, want %d to %d", n, least, most)
	}
}

// plainDaemon returns the first daemon from an index on that collects for no others.
func (f *fleet) plainDaemon(from int) *peer {
	for _, p := range f.peers[from:] {
		if p.collector.Status().Domain != p.id {
			return p
		}
	}
	f.t.Fatal("all daemons are collectors")
	return nil
}
