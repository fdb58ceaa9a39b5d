package collectgrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/proto"

	"fescuehoist.example/adapters/collectgrpc/collectpb"
	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/collect"
	"fescuehoist.example/mesh/rollout"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/rawgrpc"
)

// sampleReport returns a report of n accounts of a failure domain of 18 daemons.
func sampleReport(n int) *collect.Report {
	r := &collect.Report{From: "server-3", Sum: true, Daemons: 18, Present: allowance.Series{18, 18, 18, 17.5, 17}, Whole: true,
		Releases: []rollout.Count{{Service: "lookup", Release: "v2", Class: "search", Answered: 500, Failed: 3, Total: 7 * time.Second}}}
	for i := range n {
		r.Accounts = append(r.Accounts, allowance.Count{Account: fmt.Sprintf("acct%03d", i), Offered: 4.5, Used: allowance.Series{4, 5, 3.5, 4, 6}})
	}
	return r
}

var sampleReply = collect.Reply{Fleet: true, Daemons: 72, Verified: true, Version: 9, VerificationAge: 1500*time.Millisecond + time.Microsecond,
	Limits: []allowance.Limit{{Account: "acct001", Share: 0.25, Room: 12.5, Rate: 467}},
	Directions: []rollout.Direction{{Service: "lookup", Release: "v2", Share: 0.05, State: rollout.Running,
		Age: time.Second + time.Microsecond}}}

// receiver answers all reports with sampleReply, whose ages are rounded up on the way. If
// blocked is not nil, it answers once that is closed.
type receiver struct {
	reports chan *collect.Report
	blocked chan struct{}
	err     error
}

func (r *receiver) Receive(report *collect.Report) (*collect.Reply, error) {
	if r.blocked != nil {
		<-r.blocked
	}
	if r.reports != nil {
		r.reports <- report
	}
	reply := sampleReply
	reply.VerificationAge -= time.Microsecond
	reply.Directions = slices.Clone(reply.Directions)
	reply.Directions[0].Age -= time.Microsecond
	return &reply, r.err
}

func start(t testing.TB, r *receiver) (*Client, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	(&Server{Receiver: r}).Register(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	client := NewClient(insecure.NewCredentials(), &discardStats{})
	t.Cleanup(func() {
		client.Close()
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return client, ln.Addr().String()
}

func TestReportAndReplyArriveUnchanged(t *testing.T) {
	r := &receiver{reports: make(chan *collect.Report, 1)}
	client, address := start(t, r)
	for range 2 {
		sent := sampleReport(3)
		reply, err := client.Report(t.Context(), address, sent)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sent, <-r.reports, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
			t.Errorf("report (-sent +received):\n%s", diff)
		}
		if diff := cmp.Diff(&sampleReply, reply, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
			t.Errorf("reply (-want +got):\n%s", diff)
		}
	}
}

// Guards against the reply to a report that timed out being taken for that to the next one:
// its age would count from too late a time.
func TestLateReplyIsNotTakenForNextOne(t *testing.T) {
	r := &receiver{reports: make(chan *collect.Report, 2), blocked: make(chan struct{})}
	client, address := start(t, r)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Report(ctx, address, sampleReport(1)); err == nil {
		t.Fatal("report answered although the receiver is blocked")
	}
	close(r.blocked)
	if _, err := client.Report(t.Context(), address, sampleReport(2)); err != nil {
		t.Fatal(err)
	}
	for report := range r.reports {
		if len(report.Accounts) == 2 {
			break
		}
	}
}

// Guards against a failure domain whose reports are refused because it lost a daemon: its
// counts were still in the earlier slices of the window.
func TestReportAfterLossOfDaemonIsAccepted(t *testing.T) {
	sent := sampleReport(1)
	sent.Daemons, sent.Present = 17, allowance.Series{17, 17.5, 18, 18, 18}
	received, err := decodeReport(encodeReport(sent))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, received, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Errorf("report (-sent +received):\n%s", diff)
	}
}

func TestRefusedReportIsAnError(t *testing.T) {
	client, address := start(t, &receiver{reports: make(chan *collect.Report, 1), err: errors.New("not collecting")})
	if _, err := client.Report(t.Context(), address, sampleReport(1)); err == nil || !strings.Contains(err.Error(), "not collecting") {
		t.Errorf("error %v, want that of the receiver", err)
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	reports := map[string]func(*collectpb.Report){
		"no sender":              func(r *collectpb.Report) { r.From = "" },
		"no daemons":             func(r *collectpb.Report) { r.Daemons = 0 },
		"too many daemons":       func(r *collectpb.Report) { r.Daemons = 1 << 30 },
		"missing slices":         func(r *collectpb.Report) { r.Present = r.Present[1:] },
		"too many present":       func(r *collectpb.Report) { r.Present[0] = maxDaemons*hundredths + 1 },
		"missing rates":          func(r *collectpb.Report) { r.Offered = nil },
		"missing amounts":        func(r *collectpb.Report) { r.Used = r.Used[1:] },
		"account without a name": func(r *collectpb.Report) { r.Accounts[0] = "" },
		"long account name":      func(r *collectpb.Report) { r.Accounts[0] = strings.Repeat("x", target.MaxAccountNameLength+1) },
		"too many accounts":      func(r *collectpb.Report) { r.Accounts = make([]string, maxAccounts+1) },
		"invalid service":        func(r *collectpb.Report) { r.Releases[0].Service = "" },
	}
	for name, corrupt := range reports {
		in := encodeReport(sampleReport(2))
		corrupt(in)
		if _, err := decodeReport(in); err == nil {
			t.Errorf("%s: report accepted", name)
		}
	}
	replies := map[string]func(*collectpb.Reply){
		"missing shares":  func(r *collectpb.Reply) { r.Shares = nil },
		"rate of 0":       func(r *collectpb.Reply) { r.Rates[0] = 0 },
		"invalid state":   func(r *collectpb.Reply) { r.Directions[0].State = 9 },
		"invalid service": func(r *collectpb.Reply) { r.Directions[0].Service = "not\na name" },
	}
	for name, corrupt := range replies {
		in := encodeReply(&sampleReply)
		corrupt(in)
		if _, err := decodeReply(in); err == nil {
			t.Errorf("%s: reply accepted", name)
		}
	}
}

// Guards against one account with a rate at the ends of the range because of which receivers
// reject the limits of all accounts.
func TestRepliesWithExtremeRatesAreAccepted(t *testing.T) {
	for _, rate := range []float64{1e-60, 1e60} {
		sent := collect.Reply{Limits: []allowance.Limit{{Account: "a", Share: 1, Rate: rate}}}
		if received, err := decodeReply(encodeReply(&sent)); err != nil || len(received.Limits) != 1 {
			t.Errorf("rate %g: got %+v and %v, want the limit", rate, received, err)
		}
	}
}

// Guards against messages that grow beyond what links between failure domains are paid for.
func TestReportSizes(t *testing.T) {
	for _, accounts := range []int{0, 2, 20, 78, 1000} {
		report := sampleReport(accounts)
		report.Present, report.Releases = allowance.Series{18, 18, 18, 18, 18}, nil
		reply := sampleReply
		reply.Limits, reply.Directions = slices.Repeat(sampleReply.Limits, accounts), nil
		size, replySize := proto.Size(encodeReport(report)), proto.Size(encodeReply(&reply))
		t.Logf("%d accounts: report %d bytes, reply %d bytes", accounts, size, replySize)
		if most := accounts*17 + 32; size > most || replySize > most {
			t.Errorf("report of %d accounts has %d bytes, reply %d, want at most %d", accounts, size, replySize, most)
		}
	}
}

type discardStats struct{ stats.Handler }

func (discardStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (discardStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (discardStats) HandleRPC(context.Context, stats.RPCStats)                         {}
func (discardStats) HandleConn(context.Context, stats.ConnStats)                       {}

// BenchmarkExchange measures both sides of a report of two accounts.
func BenchmarkExchange(b *testing.B) {
	client, address := start(b, &receiver{})
	report := sampleReport(2)
	for b.Loop() {
		if _, err := client.Report(b.Context(), address, report); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against an answer without a valid status that is taken for the reply of a daemon.
func TestClientReplyWithStatus000IsAnError(t *testing.T) {
	for code, isReply := range map[string]bool{"200": true, "000": false} {
		t.Run(code, func(t *testing.T) {
			address := rawgrpc.StartWithStatus(t, code, nil)
			client := NewClient(insecure.NewCredentials(), &discardStats{})
			defer client.Close()
			if reply, err := client.Report(t.Context(), address, sampleReport(1)); (err == nil) != isReply {
				t.Errorf("got reply %v, error %v; want a reply: %v", reply, err, isReply)
			}
		})
	}
}
