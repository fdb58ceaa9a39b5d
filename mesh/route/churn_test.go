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

// churn is configuration and membership that change at the same time.
type churn struct {
	history *manifesttest.History
	configs *manifest.Store
	members *member.Table
	router  *route.Router

	mu sync.Mutex
	// merged holds each record that the members may hold.
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

// configure receives all versions, some of them together.
func (c *churn) configure() error {
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

// move changes the states of backend servers.
func (c *churn) move() error {
	r := rand.New(rand.NewPCG(churnSeed, 2))
	for i := range churnRecords {
		server := r.IntN(20)
		record := member.Record{
			Server: member.ServerID(fmt.Sprintf("server-%d", server)), Incarnation: 1, Sequence: uint64(i + 1),
			State: member.State(r.IntN(3)), Service: fmt.Sprintf("service-%d", server%churnServices), Domain: "d",
			Health: member.Health(r.IntN(2)),
		}
		c.mu.Lock()
		c.merged[identity(&record)] = true
		c.mu.Unlock()
		c.members.Merge([]member.Record{record})
		runtime.Gosched()
	}
	return nil
}

func identity(r *member.Record) string {
	return fmt.Sprintf("%s %d %s %s", r.Server, r.Sequence, r.State, r.Service)
}

// check compares one table of routes with what its version and members have.
func (c *churn) check(t *route.Table) error {
	table := c.history.Tables[t.Version()]
	for i := range churnServices {
		name := fmt.Sprintf("service-%d", i)
		digest, ok := table.Lookup(name)
		s := t.Service(name)
		if ok != (s != nil) {
			return fmt.Errorf("version %d has service %s: %t; its routes: %t", t.Version(), name, ok, s != nil)
		}
		if s == nil {
			continue
		}
		if s.Config.Digest() != digest {
			return fmt.Errorf("version %d: the route of %s has another version's classes", t.Version(), name)
		}
		for _, r := range s.Servers {
			c.mu.Lock()
			known := c.merged[identity(r)]
			c.mu.Unlock()
			if !known || !r.Routable() || r.Service != name {
				return fmt.Errorf("version %d: the route of %s names %+v", t.Version(), name, r)
			}
		}
	}
	return nil
}

func TestRoutesNameOnlyWhatTheirProxyHasUnderChurn(t *testing.T) {
	c := newChurn()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ran := make(chan error, 1)
	go func() { ran <- c.router.Run(ctx) }()
	var g errgroup.Group
	g.Go(c.configure)
	g.Go(c.move)
	for range 4 {
		g.Go(func() error {
			var last manifest.Version
			for range churnChecks {
				table := c.router.Table()
				if table.Version() < last {
					return fmt.Errorf("the routes went back from version %d to %d", last, table.Version())
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
	if err := <-ran; err != nil {
		t.Error(err)
	}
}
