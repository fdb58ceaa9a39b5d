package trace_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/fescuehoist/trace"
)

const (
	entryLog = `2026-07-12T10:42:50Z info  belief: configuration in force previous=4 server=entry version=6
2026-07-12T10:42:51Z info  belief: backend server of=lookup-2 health=alive instance=i-2 server=entry state=ready
2026-07-12T10:42:53.302Z info  call: call failed cause="said \"no\" = not run" id=37b9 instance=i-2 reason=overloaded server=entry to=lookup-2 version=6
2026-07-12T10:42:53.303Z info  call: call failed id=37b9ff server=entry to=lookup-2
2026-07-12T10:42:54Z info  belief: backend server of=lookup-2 health=failed instance=i-2 server=entry state=ready
`
	// serverLog has a prefix before the time, as a log collector may add one.
	serverLog = `  3.3 lookup-2 2026-07-12T10:42:53.301Z info  call: call not run to an answer at the backend server id=37b9 limit=12 running=12 server=lookup-2
no line of a daemon that names 37b9
`
)

func TestTraceOrdersLinesAndAddsDaemonState(t *testing.T) {
	tr := trace.New("37b9")
	for _, text := range []string{entryLog, serverLog} {
		if err := tr.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if err := tr.Write(&out); err != nil || !tr.Found() {
		t.Fatal(err)
	}
	entry, server := strings.Split(entryLog, "\n"), strings.Split(serverLog, "\n")
	want := strings.Join([]string{
		server[0], entry[2],
		"    entry had version 6 in force for 3.302s",
		"    entry last logged 2.302s earlier that lookup-2 is ready, alive, instance i-2", "",
	}, "\n")
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
}

func TestTraceUnknownRequestNotFound(t *testing.T) {
	tr := trace.New("none")
	if err := tr.Read(strings.NewReader(entryLog)); err != nil || tr.Found() {
		t.Errorf("found %v, %v", tr.Found(), err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(entryLog)
	f.Add(`2026-07-12T10:42:53Z info belief: x="\" id=37b9`)
	f.Fuzz(func(t *testing.T, text string) {
		tr := trace.New("37b9")
		if tr.Read(strings.NewReader(text)) == nil {
			_ = tr.Write(&bytes.Buffer{})
		}
	})
}
