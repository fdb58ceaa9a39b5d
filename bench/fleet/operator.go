package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/target"
)

// Operator edits the configuration of a fleet.
type Operator struct {
	Repo   *platformhttp.Repository
	Editor *manifest.Editor

	fleet  *Fleet
	client *platformhttp.Client
}

// NewOperator returns an operator that connects to the platform with dial; nil
// means plain TCP.
func (f *Fleet) NewOperator(dial httpconn.DialFunc) *Operator {
	client := platformhttp.NewClientWithDial(f.PlatformAddress, dial)
	repo := &platformhttp.Repository{Client: client}
	return &Operator{Repo: repo, Editor: manifest.NewEditor(repo), fleet: f, client: client}
}

// Close closes the operator's connections.
func (o *Operator) Close() { o.client.Close() }

// Publish publishes an edit that updates services and returns its version. It
// returns an error if the edit changes nothing.
func (o *Operator) Publish(ctx context.Context, services ...*target.Service) (manifest.Version, error) {
	change, err := o.Editor.Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Author: "operator", Update: services})
	if err != nil {
		return 0, err
	}
	if change == nil {
		return 0, oops.In("fleet").Errorf("edit of %d services changes nothing, want a new version", len(services))
	}
	return change.Version, nil
}

// PublishInitial publishes the first targets and waits until they are in force at
// all members and each member sees all others ready.
func (o *Operator) PublishInitial(ctx context.Context, services ...*target.Service) error {
	v, err := o.Publish(ctx, services...)
	if err != nil {
		return err
	}
	if err := o.fleet.AwaitVersion(ctx, o.fleet.Members, v); err != nil {
		return err
	}
	return o.fleet.AwaitReady(ctx, o.fleet.Members, len(o.fleet.Members))
}

// CommitVersion commits version v of a history without the editor's checks, so
// that it may be invalid. It writes those bodies of the history that have content,
// then the head.
func (o *Operator) CommitVersion(ctx context.Context, h *manifesttest.History, v manifest.Version) error {
	for _, b := range h.Bodies {
		if b.Service == nil {
			continue
		}
		if err := o.Repo.PutBody(ctx, b.Service); err != nil {
			return err
		}
	}
	_, rev, err := o.Repo.Head(ctx)
	if err != nil {
		return err
	}
	return o.Repo.CommitHead(ctx, h.Head(0, v), rev)
}

// leasePollInterval is the time between two reads of the readers' leases.
const leasePollInterval = 10 * time.Millisecond

// AwaitReaders waits until each of the given number of failure domains has its
// full number of readers. It returns the members that read the platform and the
// others. It returns an error if ctx ends first.
func (o *Operator) AwaitReaders(ctx context.Context, domains int) (readers, others []*Member, err error) {
	tick := time.NewTicker(leasePollInterval)
	defer tick.Stop()
	for {
		readers, others, err = o.splitReaders(ctx)
		if err != nil || len(readers) >= domains*reader.DefaultConfig().PerDomain {
			return readers, others, err
		}
		select {
		case <-ctx.Done():
			return nil, nil, oops.In("fleet").Wrapf(ctx.Err(), "waiting for %d readers: found %d", domains*reader.DefaultConfig().PerDomain, len(readers))
		case <-tick.C:
		}
	}
}

// splitReaders divides the members into those that hold a reader's lease and the
// others.
func (o *Operator) splitReaders(ctx context.Context) (readers, others []*Member, err error) {
	objects, err := o.client.List(ctx, "lease/")
	if err != nil {
		return nil, nil, err
	}
	holders := map[string]bool{}
	for i := range objects {
		var lease struct{ Holder string }
		if err := json.Unmarshal(objects[i].Value, &lease); err != nil {
			return nil, nil, err
		}
		holders[lease.Holder] = true
	}
	for _, m := range o.fleet.Members {
		if holders[m.Server.Name] {
			readers = append(readers, m)
			continue
		}
		others = append(others, m)
	}
	return readers, others, nil
}
