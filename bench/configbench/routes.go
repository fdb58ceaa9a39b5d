package configbench

import (
	"fmt"
	"runtime"
	"time"

	"fescuehoist.example/bench/figure"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// lookups is the number of lookups whose time is averaged.
const lookups = 10_000

// RunRoutes measures a virtual host with a number of routes: the heap that it takes,
// the time to apply it and then a change of one route, and the time of a lookup.
func RunRoutes(routes int, r *figure.Report) error {
	before := heapBytes()
	host := hostWithRoutes(routes)
	configs := manifest.NewStore()
	start := time.Now()
	if _, err := configs.ApplyUpdate(nextUpdate(configs.Table(), []*target.Service{host})); err != nil {
		return err
	}
	applyTime := time.Since(start)
	heapMB := float64(heapBytes()-before) / (1 << 20)
	changed := &target.Service{Name: host.Name, Classes: append([]target.Class(nil), host.Classes...)}
	changed.Classes[routes/2].Timeout++
	start = time.Now()
	if _, err := configs.ApplyUpdate(nextUpdate(configs.Table(), []*target.Service{changed})); err != nil {
		return err
	}
	changeTime := time.Since(start)
	if err := configs.Refusal(); err != nil {
		return err
	}
	lookupTime, err := measureLookups(configs.Snapshot(), host)
	if err != nil {
		return err
	}
	runtime.KeepAlive(configs)
	name := func(figure string) string { return fmt.Sprintf("routes-%d-%s", routes, figure) }
	r.AddAtMost(name("heap"), heapMB, "MB", maxHeapMB)
	r.AddUnbounded(name("apply"), applyTime.Seconds()*1e3, "ms")
	r.AddUnbounded(name("change"), changeTime.Seconds()*1e3, "ms")
	r.AddUnbounded(name("lookup"), lookupTime.Seconds()*1e6, "us")
	return nil
}

// hostWithRoutes returns a virtual host whose routes have prefixes of two segments.
func hostWithRoutes(routes int) *target.Service {
	s := &target.Service{Name: "site.example"}
	for i := range routes {
		s.Classes = append(s.Classes, target.Class{
			Name: fmt.Sprintf("route-%06d", i), Path: fmt.Sprintf("/area-%03d/place-%06d/", i%100, i), Rank: 1,
			Latency: time.Second, Success: 0.99, Timeout: 2 * time.Second, Idempotent: true, Attempts: 2,
			Parts: []target.Part{{Service: "lookup", Weight: 1}},
		})
	}
	return s
}

// measureLookups returns the mean time of a lookup in the routes of a host.
func measureLookups(snapshot *manifest.Snapshot, host *target.Service) (time.Duration, error) {
	index := snapshot.Index(host.Name)
	step := max(len(host.Classes)/lookups, 1)
	start, n := time.Now(), 0
	for i := 0; i < len(host.Classes); i += step {
		c := &host.Classes[i]
		if found := index.Classify("GET", c.Path+"x/y?z=1"); found == nil || found.Name != c.Name {
			return 0, fmt.Errorf("lookup of %s: found %v, want class %s", c.Path, found, c.Name)
		}
		n++
	}
	return time.Since(start) / time.Duration(n), nil
}
