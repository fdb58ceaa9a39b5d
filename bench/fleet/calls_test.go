package fleet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/standin/backend"
)

// startNuqta starts Nuqta's deployment with its targets in force.
func startNuqta(ctx context.Context, t *testing.T, work func(method, path string) time.Duration) *fleet.Fleet {
	d := fleet.Nuqta()
	if work != nil {
		d.Work = work
	}
	return start(ctx, t, d, fleet.Options{})
}

// start starts a deployment with Nuqta's targets in force.
func start(ctx context.Context, t *testing.T, d *fleet.Deployment, o fleet.Options) *fleet.Fleet {
	f, err := fleet.Start(ctx, d, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	services, err := targetfile.Load("../../examples/nuqta/targets.toml")
	if err != nil {
		t.Fatal(err)
	}
	client := platformhttp.NewClient(f.PlatformAddress)
	defer client.Close()
	change, err := manifest.NewEditor(&platformhttp.Repository{Client: client}).Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Update: services})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitVersion(ctx, f.Members, change.Version); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(ctx, f.Members, len(f.Members)); err != nil {
		t.Fatal(err)
	}
	return f
}

// reply is what a caller gets.
type reply struct {
	verdict, reason, body string
	err                   error
}

func (r reply) String() string { return fmt.Sprintf("%s %s %v", r.verdict, r.reason, r.err) }

func do(method, address, service, path, id string, header map[string]string) reply {
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return reply{err: err}
	}
	req.Host = service
	req.Header.Set(backend.HeaderRequest, id)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{
		verdict: resp.Header.Get(callhttp.HeaderVerdict), reason: resp.Header.Get(callhttp.HeaderReason),
		body: string(body), err: err,
	}
}

func TestARequestThatCrashesServersCostsTwo(t *testing.T) {
	for method, path := range map[string]string{"GET": "/search", "POST": "/places"} {
		t.Run(method, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			f := startNuqta(ctx, t, nil)
			var innocents sync.WaitGroup
			stop := make(chan struct{})
			for task := range 8 {
				innocents.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						id := fmt.Sprintf("innocent-%d-%d", task, n)
						got := do("GET", f.Members[n%8].Callers, "lookup", "/search?q="+id, id, nil)
						if got.reason == string(call.Quarantined) {
							t.Errorf("an innocent request was refused: %v", got)
						}
					}
				})
			}
			for n := range 12 {
				got := do(method, f.Members[n%8].Callers, "lookup", path+"?q=deadly", fmt.Sprint("deadly-", n), map[string]string{backend.HeaderCrash: "1"})
				if n > 2 && got.reason != string(call.Quarantined) {
					t.Errorf("copy %d got %v", n, got)
				}
			}
			close(stop)
			innocents.Wait()
			ran := 0
			for id, count := range f.Runs() {
				if len(id) > 6 && id[:6] == "deadly" {
					ran += count
				}
			}
			if ran > 2 {
				t.Errorf("the request crashed %d servers", ran)
			}
		})
	}
}

func TestAPlannedStopCutsNoRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	const long = 1800 * time.Millisecond
	f := startNuqta(ctx, t, func(_, path string) time.Duration {
		if path == "/export" {
			return long
		}
		return 5 * time.Millisecond
	})
	leaving := f.Members[5]
	var calls sync.WaitGroup
	started := make(chan struct{}, 6)
	for n := range 6 {
		calls.Go(func() {
			started <- struct{}{}
			id := fmt.Sprint("long-", n)
			if got := do("GET", f.Members[n%8].Callers, "archive", "/export", id, nil); got.verdict != "ran" {
				t.Errorf("a long call got %v", got)
			}
		})
	}
	for range 6 {
		<-started
	}
	time.Sleep(300 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		leaving.Stop()
		close(stopped)
	}()
	for n := 0; ; n++ {
		select {
		case <-stopped:
			calls.Wait()
			return
		default:
		}
		got := do("GET", f.Members[n%5].Callers, "archive", "/geometry", fmt.Sprint("short-", n), nil)
		if got.verdict != "ran" {
			t.Errorf("a short call got %v", got)
		}
	}
}

func TestCallersOfALeavingDaemonAreToldToGo(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f := startNuqta(ctx, t, nil)
	c, err := net.Dial("tcp", f.Members[0].Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go f.Members[0].Stop()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		_, _ = fmt.Fprintf(c, "GET /search?n=%d HTTP/1.1\r\nHost: lookup\r\n\r\n", n)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("call %d got status %d", n, resp.StatusCode)
		}
		if resp.Close {
			return
		}
	}
}

func TestASubmissionRunsOnceWhenItIsSentAgainElsewhere(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f := startNuqta(ctx, t, nil)
	var calls sync.WaitGroup
	for n := range 20 {
		for copy := range 3 {
			calls.Go(func() {
				id := fmt.Sprint("submission-", n)
				got := do("POST", f.Members[(n+copy)%8].Callers, "lookup", "/places", id, map[string]string{callhttp.HeaderKey: id})
				if got.verdict != "ran" || got.body == "" {
					t.Errorf("%s got %v", id, got)
				}
			})
		}
	}
	calls.Wait()
	for n := range 20 {
		if ran := f.Runs()[fmt.Sprint("submission-", n)]; ran != 1 {
			t.Errorf("submission %d ran %d times", n, ran)
		}
	}
}

// submission is one request that its caller sends again until it is answered.
type submission struct {
	id      string
	replies []reply
}

// resend sends a submission to one daemon after another.
func (s *submission) resend(addresses []string, first int) {
	for n := range 4 {
		got := do("POST", addresses[(first+n)%len(addresses)], "lookup", "/places", s.id, map[string]string{callhttp.HeaderKey: s.id})
		s.replies = append(s.replies, got)
		if got.verdict == call.Ran.String() {
			return
		}
	}
}

func TestSubmissionsRunAtMostOnceWhileDaemonsDieAndLeave(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	f := startNuqta(ctx, t, nil)
	var addresses []string
	for _, m := range f.Members {
		addresses = append(addresses, m.Callers)
	}
	var mu sync.Mutex
	var all []*submission
	var calls sync.WaitGroup
	stop := make(chan struct{})
	for task := range 16 {
		calls.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				s := &submission{id: fmt.Sprintf("submission-%d-%d", task, n)}
				s.resend(addresses, task+n)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.Members[0].Kill()
	time.Sleep(300 * time.Millisecond)
	f.Members[5].Stop()
	f.Members[6].Kill()
	time.Sleep(300 * time.Millisecond)
	f.Members[1].Backend.Crash()
	f.Members[2].Stop()
	time.Sleep(300 * time.Millisecond)
	close(stop)
	calls.Wait()
	runs := f.Runs()
	answered := 0
	for _, s := range all {
		ran, unknown := false, false
		for _, r := range s.replies {
			ran = ran || r.verdict == call.Ran.String()
			unknown = unknown || r.verdict != call.NotRun.String()
			if r.verdict == call.Ran.String() && (len(r.body) < len(s.id) || r.body[:len(s.id)] != s.id) {
				t.Errorf("%s got the answer %q", s.id, r.body)
			}
		}
		n := runs[s.id]
		if n > 1 || (ran && n != 1) || (!unknown && n > 0) {
			t.Errorf("%s ran %d times; replies %v", s.id, n, s.replies)
		}
		if ran {
			answered++
		}
	}
	t.Logf("%d of %d submissions were answered", answered, len(all))
	if answered == 0 {
		t.Error("no submission was answered")
	}
}

func TestAKilledServerLeavesTrueVerdicts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f := startNuqta(ctx, t, func(string, string) time.Duration { return 30 * time.Millisecond })
	var calls sync.WaitGroup
	for n := range 10 {
		calls.Go(func() {
			id := fmt.Sprint("search-", n)
			if got := do("GET", f.Members[5].Callers, "lookup", "/search?n="+id, id, nil); got.verdict != "ran" {
				t.Errorf("%s got %v", id, got)
			}
		})
		calls.Go(func() {
			id := fmt.Sprint("plain-", n)
			got := do("POST", f.Members[6].Callers, "lookup", "/places?n="+id, id, nil)
			ran := f.Runs()[id]
			if ran > 1 || (got.verdict == "not-run" && ran > 0) || (got.verdict == "ran" && ran != 1) {
				t.Errorf("%s ran %d times and got %v", id, ran, got)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	f.Members[0].Backend.Crash()
	calls.Wait()
}

func TestALeavingServerGetsNoNewWorkAfterThreeSeconds(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f := startNuqta(ctx, t, func(_, path string) time.Duration {
		if path == "/export" {
			return 1900 * time.Millisecond
		}
		return 2 * time.Millisecond
	})
	leaving := f.Members[5]
	go func() { _ = do("GET", leaving.Callers, "archive", "/export", "long", nil) }()
	begin := time.Now()
	stopped := make(chan struct{})
	go func() {
		leaving.Stop()
		close(stopped)
	}()
	last := time.Time{}
	for n := 0; time.Since(begin) < 4*time.Second; n++ {
		id := fmt.Sprint("geometry-", n)
		sent := time.Now()
		if got := do("GET", f.Members[n%5].Callers, "archive", "/geometry", id, nil); got.verdict != "ran" {
			t.Errorf("%s got %v", id, got)
		}
		if leaving.Backend.Runs()[id] > 0 {
			last = sent
		}
	}
	<-stopped
	if after := last.Sub(begin); after > 3*time.Second {
		t.Errorf("the leaving server got work %v after its stop began", after)
	}
}

// closed is a throttle that turns every call away.
type closed struct{}

func (closed) Allow(_, _, _ string) bool   { return false }
func (closed) Done(_, _, _ string, _ bool) {}

func TestNotRunHoldsForAllCopiesOfARequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f := start(ctx, t, fleet.Nuqta(), fleet.Options{Tune: func(c *daemon.Config) {
		if c.Settings.Server == "lookup-2" {
			c.Policy.Throttle = closed{}
		}
	}})
	submit := func(member int, id string) reply {
		return do("POST", f.Members[member].Callers, "lookup", "/places", id, map[string]string{callhttp.HeaderKey: id})
	}
	first := submit(0, "a")
	if second := submit(1, "a"); first.verdict != "ran" || second.verdict != "ran" || second.body != first.body {
		t.Errorf("the copies got %v and %v", first, second)
	}
	if got := submit(1, "b"); got.verdict != "not-run" || f.Runs()["b"] != 0 {
		t.Errorf("a request that is turned away got %v", got)
	}
	if got := submit(0, "b"); got.verdict != "ran" || f.Runs()["b"] != 1 {
		t.Errorf("its copy got %v", got)
	}
}
