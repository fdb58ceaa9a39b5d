// Package configbench measures what a change of configuration costs a daemon and
// the platform.
package configbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"syscall"
	"time"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/bench/figure"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/platform"
)

// Bounds from the targets of the developers' page.
const (
	changesPerDay = 24_000
	// daemonShare is the share of a core that a daemon may spend on control.
	daemonShare = 0.028
	// daemonMemory is what a daemon may hold, in MB.
	daemonMemory = 128
	// maxValue is the largest value that the platform holds, in bytes.
	maxValue = 1 << 20
	// classesPerService is typical of the examples.
	classesPerService = 2
)

// Options choose what is measured.
type Options struct {
	// Services is the number of services.
	Services int
	// Changes is the number of changes whose cost is averaged.
	Changes int
	Seed    uint64
}

// world is a configuration that is edited one service at a time.
type world struct {
	Options
	random *rand.Rand
	edits  int
}

func (w *world) service(i int) *target.Service {
	w.edits++
	s := &target.Service{Name: fmt.Sprintf("service-%05d", i)}
	for c := range classesPerService {
		s.Classes = append(s.Classes, target.Class{
			Name: fmt.Sprintf("class-%d", c), Method: "GET", Path: fmt.Sprintf("/path-%d", c), Rank: c + 1,
			Latency: time.Second + time.Duration(w.edits)*time.Microsecond,
			Success: 0.99, GuaranteedShare: 0.4, Timeout: time.Hour, Idempotent: true,
		})
	}
	return s
}

func (w *world) all() []*target.Service {
	services := make([]*target.Service, w.Services)
	for i := range services {
		services[i] = w.service(i)
	}
	return services
}

func (w *world) edit() *manifest.Edit {
	s := w.service(w.random.IntN(w.Services))
	return &manifest.Edit{ID: fmt.Sprintf("00000000-0000-4000-8000-%012d", w.edits), Author: "operator", Update: []*target.Service{s}}
}

// Run measures and adds the figures to the report.
func Run(ctx context.Context, o Options, r *figure.Report) error {
	w := &world{Options: o, random: rand.New(rand.NewPCG(o.Seed, 0))}
	if err := w.daemon(r); err != nil {
		return err
	}
	return w.platform(ctx, r)
}

func (w *world) name(figure string) string { return fmt.Sprintf("config-%d-%s", w.Services, figure) }

// daemon measures the log of one daemon.
func (w *world) daemon(r *figure.Report) error {
	before := heap()
	configs := manifest.NewStore()
	if err := w.fill(configs); err != nil {
		return err
	}
	held := float64(heap()-before) / (1 << 20)
	updates := w.updates(configs)
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	allocated := stats.TotalAlloc
	start := processorTime()
	for _, u := range updates {
		if _, err := configs.ApplyUpdate(u); err != nil {
			return err
		}
	}
	spent := processorTime() - start
	runtime.ReadMemStats(&stats)
	allocated = stats.TotalAlloc - allocated
	start = processorTime()
	for range updates {
		configs.UpdateSince(configs.KnownVersion() - 1)
	}
	sent := processorTime() - start
	n := float64(len(updates))
	runtime.KeepAlive(configs)
	r.AddAtMost(w.name("receive-processor"), spent.Seconds()*1e3/n, "ms/change", daemonShare*86_400/changesPerDay*1e3)
	r.AddUnbounded(w.name("receive-allocated"), float64(allocated)/n/1024, "KiB/change")
	r.AddAtMost(w.name("since-processor"), sent.Seconds()*1e3/n, "ms/change", daemonShare*86_400/changesPerDay*1e3)
	r.AddAtMost(w.name("log-heap"), held, "MB", daemonMemory)
	return nil
}

// fill puts all services into the log as one version.
func (w *world) fill(log *manifest.Store) error {
	_, err := log.ApplyUpdate(next(log.Table(), w.all()))
	return err
}

// next returns the update that changes services of a table.
func next(table *manifest.Table, services []*target.Service) *manifest.Update {
	c := manifest.Change{Version: table.Version + 1, EditID: fmt.Sprint("edit-", table.Version+1), Author: "operator", At: time.Now()}
	u := &manifest.Update{}
	for _, s := range services {
		c.Updated = append(c.Updated, manifest.Ref{Service: s.Name, Digest: s.Digest()})
		u.Bodies = append(u.Bodies, manifest.Body{Digest: s.Digest(), Service: s})
	}
	after, err := table.Apply(&c)
	if err != nil {
		panic(err)
	}
	c.Table = after.Digest()
	u.Changes = []manifest.Change{c}
	return u
}

// updates returns changes of one service each that follow the known version.
func (w *world) updates(log *manifest.Store) []*manifest.Update {
	table := log.Table()
	var updates []*manifest.Update
	for range w.Changes {
		u := next(table, []*target.Service{w.service(w.random.IntN(w.Services))})
		after, err := table.Apply(&u.Changes[0])
		if err != nil {
			panic(err)
		}
		table = after
		updates = append(updates, u)
	}
	return updates
}

// platform measures what edits write and what a reader reads for each.
func (w *world) platform(ctx context.Context, r *figure.Report) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p := platform.New()
	go func() { _ = p.Run(ctx, ln) }()
	client := platformhttp.NewClient(ln.Addr().String())
	defer client.Close()
	repo := &platformhttp.Repository{Client: client}
	editor := manifest.NewEditor(repo)
	services := w.all()
	if _, err := editor.Publish(ctx, &manifest.Edit{ID: "first", Author: "operator", Update: services}); err != nil {
		return err
	}
	bodies := p.Counts().Written - size(p, "config/head")
	p.ResetCounts()
	heads, largest := 0, 0
	for range w.Changes {
		if _, err := editor.Publish(ctx, w.edit()); err != nil {
			return err
		}
		n := size(p, "config/head")
		heads += n
		largest = max(largest, n)
	}
	counts, n := p.Counts(), float64(w.Changes)
	table, err := w.table(ctx, editor, p)
	if err != nil {
		return err
	}
	r.AddUnbounded(w.name("written"), float64(counts.Written)/n, "bytes/change")
	r.AddUnbounded(w.name("writes"), float64(counts.Puts)/n, "calls/change")
	r.AddUnbounded(w.name("head-read"), float64(heads)/n, "bytes/change/reader")
	r.AddAtMost(w.name("head-largest"), float64(largest), "bytes", maxValue)
	r.AddUnbounded(w.name("one-manifest-of-digests"), float64(table), "bytes/change")
	r.AddUnbounded(w.name("one-manifest-of-bodies"), float64(bodies), "bytes/change")
	return nil
}

func size(p *platform.Platform, key string) int {
	value, _ := p.Load(key)
	return len(value)
}

// table stores the newest table as one object and returns its size.
func (w *world) table(ctx context.Context, e *manifest.Editor, p *platform.Platform) (int, error) {
	_, table, _, err := e.Current(ctx)
	if err != nil {
		return 0, err
	}
	before := p.Counts().Written
	_, err = e.Repo.PutTable(ctx, table)
	return p.Counts().Written - before, err
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
