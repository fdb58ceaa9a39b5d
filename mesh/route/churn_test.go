package route_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/route"
)

const (
	churnServices = 6
	churnVersions = 300
	churnRecords  = 600
	churnChecks   = 3000
	churnSeed     = 1
)

// churn changes the configuration and the membership at the same time.
type churn struct {
	history *manifesttest.History
	configs *manifest.Store
	members *member.Table
	router  *route.Router

	mu sync.Mutex
	// merged holds the key of each record that the members may hold.
	merged map[string]bool
}

func newChurn() *churn {
	c := &churn{history: manifesttest.NewHistory("h"), configs: manifest.NewStore(), members: member.NewTable("self"), merged: map[string]bool{}}
	r := rand.New(rand.NewPCG(churnSeed, 0))
	for v := range churnVersions {
		name := fmt.Sprintf("service-%d", r.IntN(churnServices))
		if r.IntN(4) == 0 {
			c.history.Remove(name)
			continue
		}
		s := manifesttest.Service(name, time.Duration(v+1)*time.Millisecond)
		s.Classes[0].Name = fmt.Sprintf("class-%d", v)
		c.history.Edit(s)
	}
	c.router = route.NewRouter(c.configs, c.members)
	return c
}

// changeConfiguration applies all versions, one to three at a time.
func (c *churn) changeConfiguration() error {
	r := rand.New(rand.NewPCG(churnSeed, 1))
	for v := manifest.Version(0); v < c.history.Version(); {
		to := min(v+manifest.Version(1+r.IntN(3)), c.history.Version())
		if _, err := c.configs.ApplyUpdate(c.history.Delta(v, to)); err != nil {
			return err
		}
		v = to
		runtime.Gosched()
	}
	return nil
}

// changeMembers changes the states of backend servers.
func (c *churn) changeMembers() error {
	r := rand.New(rand.NewPCG(churnSeed, 2))
	for i := range churnRecords {
		server := r.IntN(20)
		record := member.Record{
			Server: member.ServerID(fmt.Sprintf("server-%d", server)), Incarnation: 1, Sequence: uint64(i + 1),
			State: member.State(r.IntN(3)), Service: fmt.Sprintf("service-%d", server%churnServices), Domain: "d",
			Health: member.Health(r.IntN(2)),
		}
		c.mu.Lock()
		c.merged[recordKey(&record)] = true
		c.mu.Unlock()
		c.members.Merge([]member.Record{record})
		runtime.Gosched()
	}
	return nil
}

func recordKey(r *member.Record) string {
	return fmt.Sprintf("%s %d %s %s", r.Server, r.Sequence, r.State, r.Service)
}

// check compares one routing table with the configuration of its version and
// with the merged records.
func (c *churn) check(t *route.Table) error {
	table := c.history.Tables[t.Version()]
	for i := range churnServices {
		name := fmt.Sprintf("service-%d", i)
		digest, ok := table.Lookup(name)
		s := t.Service(name)
		if ok != (s != nil) {
			return fmt.Errorf("version %d: service %s is in the configuration: %t, in the routing table: %t", t.Version(), name, ok, s != nil)
		}
		if s == nil {
			continue
		}
		if s.Config.Digest() != digest {
			return fmt.Errorf("version %d: route of %s has the classes of another version", t.Version(), name)
		}
		for _, r := range s.Servers {
			c.mu.Lock()
			known := c.merged[recordKey(r)]
			c.mu.Unlock()
			if !known || !r.Routable() || r.Service != name {
				return fmt.Errorf("version %d: route of %s contains server %+v, want only routable servers of the service that were merged", t.Version(), name, r)
			}
		}
	}
	return nil
}

func TestRoutesConsistentUnderChurn(t *testing.T) {
	c := newChurn()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- c.router.Run(ctx) }()
	var g errgroup.Group
	g.Go(c.changeConfiguration)
	g.Go(c.changeMembers)
	for range 4 {
		g.Go(func() error {
			var last manifest.Version
			for range churnChecks {
				table := c.router.Table()
				if table.Version() < last {
					return fmt.Errorf("routing table went back from version %d to %d", last, table.Version())
				}
				last = table.Version()
				if err := c.check(table); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Errorf("seed %d: %v", churnSeed, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
