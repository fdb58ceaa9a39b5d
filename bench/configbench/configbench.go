// Package configbench measures the cost of a configuration change for a daemon and for
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

// Bounds from the targets on the developers' page.
const (
	changesPerDay = 24_000
	// maxCPUShare is the share of a core that a daemon may use for control.
	maxCPUShare = 0.028
	// maxHeapMB bounds the heap of a daemon, in MB.
	maxHeapMB = 128
	// maxValueBytes is the largest value that the platform accepts, in bytes.
	maxValueBytes = 1 << 20
	// classesPerService is the typical number in the examples.
	classesPerService = 2
)

// Options configures a run.
type Options struct {
	// Services is the number of services.
	Services int
	// Changes is the number of changes whose cost is averaged.
	Changes int
	// Seed determines which services change.
	Seed uint64
}

// workload is a configuration in which one service changes at a time.
type workload struct {
	Options
	random    *rand.Rand
	editCount int
}

// nextService returns the i-th service with a content that differs from all earlier
// ones.
func (w *workload) nextService(i int) *target.Service {
	w.editCount++
	s := &target.Service{Name: fmt.Sprintf("service-%05d", i)}
	for c := range classesPerService {
		s.Classes = append(s.Classes, target.Class{
			Name: fmt.Sprintf("class-%d", c), Method: "GET", Path: fmt.Sprintf("/path-%d", c), Rank: c + 1,
			Latency: time.Second + time.Duration(w.editCount)*time.Microsecond,
			Success: 0.99, GuaranteedShare: 0.4, Timeout: time.Hour, Idempotent: true,
		})
	}
	return s
}

// allServices returns new contents of all services.
func (w *workload) allServices() []*target.Service {
	services := make([]*target.Service, w.Services)
	for i := range services {
		services[i] = w.nextService(i)
	}
	return services
}

// nextEdit returns an edit of a random service.
func (w *workload) nextEdit() *manifest.Edit {
	s := w.nextService(w.random.IntN(w.Services))
	return &manifest.Edit{ID: fmt.Sprintf("00000000-0000-4000-8000-%012d", w.editCount), Author: "operator", Update: []*target.Service{s}}
}

// Run measures the costs for a daemon and for the platform and adds the figures to r.
func Run(ctx context.Context, o Options, r *figure.Report) error {
	w := &workload{Options: o, random: rand.New(rand.NewPCG(o.Seed, 0))}
	if err := w.measureDaemon(r); err != nil {
		return err
	}
	return w.measurePlatform(ctx, r)
}

func (w *workload) figureName(figure string) string {
	return fmt.Sprintf("config-%d-%s", w.Services, figure)
}

// measureDaemon measures the configuration store of one daemon: processor time and
// allocations for applying a change, processor time for computing an update for a
// peer, and the heap in use.
func (w *workload) measureDaemon(r *figure.Report) error {
	before := heapBytes()
	configs := manifest.NewStore()
	if err := w.applyAll(configs); err != nil {
		return err
	}
	heapMB := float64(heapBytes()-before) / (1 << 20)
	updates := w.updates(configs)
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	allocated := stats.TotalAlloc
	start := cpuTime()
	for _, u := range updates {
		if _, err := configs.ApplyUpdate(u); err != nil {
			return err
		}
	}
	applyTime := cpuTime() - start
	runtime.ReadMemStats(&stats)
	allocated = stats.TotalAlloc - allocated
	start = cpuTime()
	for range updates {
		configs.UpdateSince(configs.KnownVersion() - 1)
	}
	updateSinceTime := cpuTime() - start
	n := float64(len(updates))
	runtime.KeepAlive(configs)
	r.AddAtMost(w.figureName("receive-processor"), applyTime.Seconds()*1e3/n, "ms/change", maxCPUShare*86_400/changesPerDay*1e3)
	r.AddUnbounded(w.figureName("receive-allocated"), float64(allocated)/n/1024, "KiB/change")
	r.AddAtMost(w.figureName("since-processor"), updateSinceTime.Seconds()*1e3/n, "ms/change", maxCPUShare*86_400/changesPerDay*1e3)
	r.AddAtMost(w.figureName("log-heap"), heapMB, "MB", maxHeapMB)
	return nil
}

// applyAll applies all services to the store as one version.
func (w *workload) applyAll(store *manifest.Store) error {
	_, err := store.ApplyUpdate(nextUpdate(store.Table(), w.allServices()))
	return err
}

// nextUpdate returns the update with the next version of a table, in which services
// are changed.
func nextUpdate(table *manifest.Table, services []*target.Service) *manifest.Update {
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

// updates returns consecutive updates that follow the version of the store, each with
// a change of one random service.
func (w *workload) updates(store *manifest.Store) []*manifest.Update {
	table := store.Table()
	var updates []*manifest.Update
	for range w.Changes {
		u := nextUpdate(table, []*target.Service{w.nextService(w.random.IntN(w.Services))})
		after, err := table.Apply(&u.Changes[0])
		if err != nil {
			panic(err)
		}
		table = after
		updates = append(updates, u)
	}
	return updates
}

// measurePlatform measures the bytes and calls with which edits write to the platform,
// and the bytes that a reader reads for each edit. For comparison it measures the size
// of a single object that holds all digests or all bodies.
func (w *workload) measurePlatform(ctx context.Context, r *figure.Report) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
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
	services := w.allServices()
	if _, err := editor.Publish(ctx, &manifest.Edit{ID: "first", Author: "operator", Update: services}); err != nil {
		return err
	}
	bodyBytes := p.Counts().Written - objectSize(p, "config/head")
	p.ResetCounts()
	headBytes, largestHead := 0, 0
	for range w.Changes {
		if _, err := editor.Publish(ctx, w.nextEdit()); err != nil {
			return err
		}
		n := objectSize(p, "config/head")
		headBytes += n
		largestHead = max(largestHead, n)
	}
	counts, n := p.Counts(), float64(w.Changes)
	table, err := w.storeTable(ctx, editor, p)
	if err != nil {
		return err
	}
	r.AddUnbounded(w.figureName("written"), float64(counts.Written)/n, "bytes/change")
	r.AddUnbounded(w.figureName("writes"), float64(counts.Puts)/n, "calls/change")
	r.AddUnbounded(w.figureName("head-read"), float64(headBytes)/n, "bytes/change/reader")
	r.AddAtMost(w.figureName("head-largest"), float64(largestHead), "bytes", maxValueBytes)
	r.AddUnbounded(w.figureName("one-manifest-of-digests"), float64(table), "bytes/change")
	r.AddUnbounded(w.figureName("one-manifest-of-bodies"), float64(bodyBytes), "bytes/change")
	return nil
}

// objectSize returns the size in bytes of the platform's object key.
func objectSize(p *platform.Platform, key string) int {
	value, _ := p.Load(key)
	return len(value)
}

// storeTable writes the newest table as one object and returns its size in bytes.
func (w *workload) storeTable(ctx context.Context, e *manifest.Editor, p *platform.Platform) (int, error) {
	_, table, _, err := e.Current(ctx)
	if err != nil {
		return 0, err
	}
	before := p.Counts().Written
	_, err = e.Repo.PutTable(ctx, table)
	return p.Counts().Written - before, err
}

// heapBytes returns the number of bytes of live heap objects.
func heapBytes() uint64 {
	// Pools are emptied by the second collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuTime returns the processor time that this process has used, or 0 if it cannot be
// read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
