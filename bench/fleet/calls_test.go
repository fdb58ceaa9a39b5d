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
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/backend"
)

// startNuqta starts Nuqta's deployment with Nuqta's targets in force. A non-nil
// work replaces the deployment's service times.
func startNuqta(ctx context.Context, t *testing.T, work func(method, path string) time.Duration) *fleet.Fleet {
	d := fleet.Nuqta()
	if work != nil {
		d.Work = work
	}
	return startFleet(ctx, t, d, fleet.Options{})
}

// startFleet starts a deployment with Nuqta's targets in force and waits until all
// daemons see each other ready.
func startFleet(ctx context.Context, t *testing.T, d *fleet.Deployment, o fleet.Options) *fleet.Fleet {
	return startFleetWith(ctx, t, d, o, func(*target.Class) {})
}

// startFleetWith does the same with the targets changed by adjust.
func startFleetWith(ctx context.Context, t *testing.T, d *fleet.Deployment, o fleet.Options, adjust func(*target.Class)) *fleet.Fleet {
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
	for _, s := range services {
		for i := range s.Classes {
			adjust(&s.Classes[i])
		}
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

// reply is the result of a call as its caller sees it: the verdict, reason and body
// of the response, or an error.
type reply struct {
	verdict, reason, body string
	err                   error
}

func (r reply) String() string { return fmt.Sprintf("%s %s %v", r.verdict, r.reason, r.err) }

// sendCall sends a request with the given ID and headers to a service through the
// daemon at address.
func sendCall(method, address, service, path, id string, header map[string]string) reply {
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return reply{err: err}
	}
	req.Host = service
	req.Header.Set(backend.HeaderRequestID, id)
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

// A request that crashes each backend server it runs on must be quarantined after
// two crashes, while other requests of the same class are never quarantined.
func TestCrashingRequestQuarantinedAfterTwoServers(t *testing.T) {
	for method, path := range map[string]string{"GET": "/search", "POST": "/places"} {
		t.Run(method, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			f := startNuqta(ctx, t, nil)
			var harmlessCalls sync.WaitGroup
			stop := make(chan struct{})
			for task := range 8 {
				harmlessCalls.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						id := fmt.Sprintf("harmless-%d-%d", task, n)
						got := sendCall("GET", f.Members[n%8].Callers, "lookup", "/search?q="+id, id, nil)
						if got.reason == string(call.Quarantined) {
							t.Errorf("harmless request %s was quarantined: %v", id, got)
						}
					}
				})
			}
			for n := range 12 {
				got := sendCall(method, f.Members[n%8].Callers, "lookup", path+"?q=faulty", fmt.Sprint("faulty-", n), map[string]string{backend.HeaderCrash: "1"})
				if n > 2 && got.reason != string(call.Quarantined) {
					t.Errorf("crashing request, copy %d: got %v, want reason %s", n, got, call.Quarantined)
				}
			}
			close(stop)
			harmlessCalls.Wait()
			ran := 0
			for id, count := range f.Executions() {
				if len(id) > 6 && id[:6] == "faulty" {
					ran += count
				}
			}
			if ran > 2 {
				t.Errorf("the request ran on %d servers and crashed them, want at most 2", ran)
			}
		})
	}
}

// A planned stop must not fail calls: long calls that run when the stop begins
// complete, and calls that arrive during the stop run on the other servers.
func TestPlannedStopCompletesRunningCalls(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	const longWork = 1800 * time.Millisecond
	f := startNuqta(ctx, t, func(_, path string) time.Duration {
		if path == "/export" {
			return longWork
		}
		return 5 * time.Millisecond
	})
	stopping := f.Members[5]
	var calls sync.WaitGroup
	started := make(chan struct{}, 6)
	for n := range 6 {
		calls.Go(func() {
			started <- struct{}{}
			id := fmt.Sprint("long-", n)
			if got := sendCall("GET", f.Members[n%8].Callers, "archive", "/export", id, nil); got.verdict != "ran" {
				t.Errorf("long call %s: got %v, want verdict ran", id, got)
			}
		})
	}
	for range 6 {
		<-started
	}
	time.Sleep(300 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		stopping.Stop()
		close(stopped)
	}()
	for n := 0; ; n++ {
		select {
		case <-stopped:
			calls.Wait()
			return
		default:
		}
		got := sendCall("GET", f.Members[n%5].Callers, "archive", "/geometry", fmt.Sprint("short-", n), nil)
		if got.verdict != "ran" {
			t.Errorf("short call %d: got %v, want verdict ran", n, got)
		}
	}
}

// A daemon that stops must ask callers with open connections to close them, and
// answer their calls until then.
func TestStoppingDaemonClosesCallerConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
			t.Errorf("call %d: status %d, want 200", n, resp.StatusCode)
		}
		if resp.Close {
			return
		}
	}
}

// Copies of a submission with the same idempotency key, sent to three daemons at
// the same time, must run once and all get the verdict ran with a body.
func TestSubmissionRepeatedAtThreeDaemonsRunsOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := startNuqta(ctx, t, nil)
	var calls sync.WaitGroup
	for n := range 20 {
		for attempt := range 3 {
			calls.Go(func() {
				id := fmt.Sprint("submission-", n)
				got := sendCall("POST", f.Members[(n+attempt)%8].Callers, "lookup", "/places", id, map[string]string{callhttp.HeaderKey: id})
				if got.verdict != "ran" || got.body == "" {
					t.Errorf("%s: got %v with body %q, want verdict ran and a body", id, got, got.body)
				}
			})
		}
	}
	calls.Wait()
	for n := range 20 {
		if ran := f.Executions()[fmt.Sprint("submission-", n)]; ran != 1 {
			t.Errorf("submission %d ran %d times, want 1", n, ran)
		}
	}
}

// submission is one keyed request, with the replies to each of its copies.
type submission struct {
	id      string
	replies []reply
}

// sendUntilAnswered sends the submission to one daemon after another, starting at
// offset, until one replies that it ran. It sends at most four copies.
func (s *submission) sendUntilAnswered(addresses []string, offset int) {
	for n := range 4 {
		got := sendCall("POST", addresses[(offset+n)%len(addresses)], "lookup", "/places", s.id, map[string]string{callhttp.HeaderKey: s.id})
		s.replies = append(s.replies, got)
		if got.verdict == call.Ran.String() {
			return
		}
	}
}

// While daemons are killed or stopped and a backend server crashes, a keyed
// submission that is sent to several daemons must run at most once, and the
// verdicts of its copies must agree with the number of executions.
func TestSubmissionRunsAtMostOnceDuringDaemonFailures(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	f := startNuqta(ctx, t, nil)
	var addresses []string
	for _, m := range f.Members {
		addresses = append(addresses, m.Callers)
	}
	var mu sync.Mutex
	var submissions []*submission
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
				s.sendUntilAnswered(addresses, task+n)
				mu.Lock()
				submissions = append(submissions, s)
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
	runs := f.Executions()
	answered := 0
	for _, s := range submissions {
		ran, unknown := false, false
		for _, r := range s.replies {
			ran = ran || r.verdict == call.Ran.String()
			unknown = unknown || r.verdict != call.NotRun.String()
			if r.verdict == call.Ran.String() && (len(r.body) < len(s.id) || r.body[:len(s.id)] != s.id) {
				t.Errorf("%s: body %q, want one that begins with the request ID", s.id, r.body)
			}
		}
		n := runs[s.id]
		if n > 1 || (ran && n != 1) || (!unknown && n > 0) {
			t.Errorf("%s ran %d times, which contradicts its replies %v", s.id, n, s.replies)
		}
		if ran {
			answered++
		}
	}
	t.Logf("%d of %d submissions were answered", answered, len(submissions))
	if answered == 0 {
		t.Error("no submission was answered, want at least one")
	}
}

// When a backend server crashes with calls running on it, idempotent calls must
// still succeed, and the verdicts of the others must agree with the number of
// executions.
func TestVerdictsMatchExecutionsAfterServerCrash(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := startNuqta(ctx, t, func(string, string) time.Duration { return 30 * time.Millisecond })
	var calls sync.WaitGroup
	for n := range 10 {
		calls.Go(func() {
			id := fmt.Sprint("search-", n)
			if got := sendCall("GET", f.Members[5].Callers, "lookup", "/search?n="+id, id, nil); got.verdict != "ran" {
				t.Errorf("%s: got %v, want verdict ran", id, got)
			}
		})
		calls.Go(func() {
			id := fmt.Sprint("plain-", n)
			got := sendCall("POST", f.Members[6].Callers, "lookup", "/places?n="+id, id, nil)
			ran := f.Executions()[id]
			if ran > 1 || (got.verdict == "not-run" && ran > 0) || (got.verdict == "ran" && ran != 1) {
				t.Errorf("%s ran %d times, which contradicts its reply %v", id, ran, got)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	f.Members[0].Backend.Crash()
	calls.Wait()
}

// A backend server whose planned stop has begun must receive no calls that were
// sent more than three seconds later, and no call may fail meanwhile.
func TestStoppingServerReceivesNoCallsAfterThreeSeconds(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := startNuqta(ctx, t, func(_, path string) time.Duration {
		if path == "/export" {
			return 1900 * time.Millisecond
		}
		return 2 * time.Millisecond
	})
	stopping := f.Members[5]
	go func() { _ = sendCall("GET", stopping.Callers, "archive", "/export", "long", nil) }()
	begin := time.Now()
	stopped := make(chan struct{})
	go func() {
		stopping.Stop()
		close(stopped)
	}()
	last := time.Time{}
	for n := 0; time.Since(begin) < 4*time.Second; n++ {
		id := fmt.Sprint("geometry-", n)
		sent := time.Now()
		if got := sendCall("GET", f.Members[n%5].Callers, "archive", "/geometry", id, nil); got.verdict != "ran" {
			t.Errorf("%s: got %v, want verdict ran", id, got)
		}
		if stopping.Backend.Executions()[id] > 0 {
			last = sent
		}
	}
	<-stopped
	if after := last.Sub(begin); after > 3*time.Second {
		t.Errorf("the stopping server ran a call sent %v after its stop began, want at most 3s", after)
	}
}

// rejectAll is a throttle that rejects every call.
type rejectAll struct{}

func (rejectAll) Allow(_, _, _ string) bool   { return false }
func (rejectAll) Done(_, _, _ string, _ bool) {}

// The verdict not-run must hold for all copies of a keyed request: if the throttle
// of one daemon rejects the first copy, a copy sent to another daemon may still run,
// once. A copy of a request that already ran gets its recorded reply instead.
func TestSubmissionThrottledByOneDaemonRunsAtAnother(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f := startFleet(ctx, t, fleet.Nuqta(), fleet.Options{Tune: func(c *daemon.Config) {
		if c.Settings.Server == "lookup-2" {
			c.Policy.Throttle = rejectAll{}
		}
	}})
	submit := func(member int, id string) reply {
		return sendCall("POST", f.Members[member].Callers, "lookup", "/places", id, map[string]string{callhttp.HeaderKey: id})
	}
	first := submit(0, "a")
	if second := submit(1, "a"); first.verdict != "ran" || second.verdict != "ran" || second.body != first.body {
		t.Errorf("copies of request a: got %v and %v, want verdict ran and the same body", first, second)
	}
	if got := submit(1, "b"); got.verdict != "not-run" || f.Executions()["b"] != 0 {
		t.Errorf("request b at the throttled daemon: got %v and %d executions, want not-run and 0", got, f.Executions()["b"])
	}
	if got := submit(0, "b"); got.verdict != "ran" || f.Executions()["b"] != 1 {
		t.Errorf("copy of request b: got %v and %d executions, want ran and 1", got, f.Executions()["b"])
	}
}
