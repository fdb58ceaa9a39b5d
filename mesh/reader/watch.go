package reader

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

// bodyReaders is the number of bodies that a reader fetches at the same time.
const bodyReaders = 8

// watch takes up each new head. Its calls are limited whatever the platform
// answers, and failed ones are followed by an exponential delay.
func (r *Reader) watch(ctx context.Context) error {
	limit := rate.NewLimiter(rate.Limit(r.cfg.WatchRate), r.cfg.WatchBurst)
	delay := r.delay()
	var revision manifest.Revision
	for {
		if err := limit.Wait(ctx); err != nil {
			return err
		}
		next, err := r.watchOnce(ctx, revision)
		if err == nil {
			revision = next
			delay.Reset()
			continue
		}
		if ctx.Err() == nil {
			r.out.Infof("cannot read the configuration: %v", err)
		}
		if err := wait.For(ctx, delay.NextBackOff()); err != nil {
			return err
		}
	}
}

// watchOnce waits for a head after the revision, deals with it, and returns
// the revision that is dealt with.
func (r *Reader) watchOnce(ctx context.Context, revision manifest.Revision) (manifest.Revision, error) {
	head, now, err := r.repo.WaitHead(ctx, revision)
	if errors.Is(err, manifest.ErrUnchanged) {
		return r.recheck(ctx, revision)
	}
	return r.deal(ctx, head, now, err)
}

// recheck follows a watch without news. It reads the head, since one that was
// put back to an older state may have a revision below the watched one, and
// tries again to read bodies that were missing or unreadable.
func (r *Reader) recheck(ctx context.Context, revision manifest.Revision) (manifest.Revision, error) {
	head, now, err := r.repo.Head(ctx)
	if now != revision {
		return r.deal(ctx, head, now, err)
	}
	if err != nil && !malformed(err) {
		return revision, err
	}
	return revision, r.mend(ctx)
}

// deal takes the head up or, if that can't be done, notes why. It returns only
// a failure that another attempt may cure.
func (r *Reader) deal(ctx context.Context, head *manifest.Head, now manifest.Revision, err error) (manifest.Revision, error) {
	if err == nil {
		err = r.take(ctx, head)
	}
	var refusal *manifest.Refusal
	switch {
	case err == nil:
		r.configs.ClearRejection()
		r.configs.SkipQuorum()
	case errors.As(err, &refusal):
		r.reject(refusal)
	case malformed(err):
		r.reject(manifest.NewRefusal(0, "", "%v", err))
	default:
		return 0, err
	}
	return now, nil
}

func (r *Reader) reject(refusal *manifest.Refusal) {
	r.out.Infof("%v", refusal)
	r.configs.SetRejection(refusal)
}

func malformed(err error) bool {
	var m *manifest.MalformedError
	return errors.As(err, &m)
}

// take fetches what the head refers to and gives it to the log. The error is a
// *manifest.Refusal if the head goes back or does not follow from the version
// known.
func (r *Reader) take(ctx context.Context, head *manifest.Head) error {
	known := r.configs.Table()
	if head.Version < known.Version {
		return refuse(head, "the platform went back to it from version %d", known.Version)
	}
	u := &manifest.Update{}
	if known.Version < head.Base.Version {
		base, err := r.base(ctx, head)
		if err != nil {
			return err
		}
		u.Base, known = base, base
	}
	table, err := known.ApplyAll(head.Changes)
	if err == nil {
		err = sameTable(head, table)
	}
	if err != nil {
		return refuse(head, "it does not follow from version %d as known here: %v", known.Version, err)
	}
	if table.Version == r.configs.KnownVersion() {
		return nil
	}
	u.Changes = manifest.ChangesAfter(head.Changes, known.Version)
	u.Bodies, err = r.bodies(ctx, r.configs.MissingDigests(table.Refs))
	if err != nil {
		return err
	}
	_, err = r.configs.ApplyUpdate(u)
	return err
}

// base reads the base table. One that is missing or malformed makes the head a
// bad one.
func (r *Reader) base(ctx context.Context, head *manifest.Head) (*manifest.Table, error) {
	base, err := r.repo.Table(ctx, head.Base)
	if errors.Is(err, manifest.ErrNotFound) || malformed(err) {
		return nil, refuse(head, "its base table %d cannot be read: %v", head.Base.Version, err)
	}
	return base, err
}

// sameTable compares a table with the one that the head states for its version.
func sameTable(head *manifest.Head, t *manifest.Table) error {
	want := head.Base.Digest
	if n := len(head.Changes); n > 0 {
		want = head.Changes[n-1].Table
	}
	if head.Version > 0 && t.Digest() != want {
		return fmt.Errorf("%w: version %d", manifest.ErrForked, head.Version)
	}
	return nil
}

func refuse(head *manifest.Head, format string, args ...any) *manifest.Refusal {
	editID := ""
	if n := len(head.Changes); n > 0 {
		editID = head.Changes[n-1].EditID
	}
	return manifest.NewRefusal(head.Version, editID, format, args...)
}

// bodies fetches bodies. One that the platform lacks or that cannot be decoded
// makes the version a bad one.
func (r *Reader) bodies(ctx context.Context, digests []target.Digest) ([]manifest.Body, error) {
	bodies := make([]manifest.Body, len(digests))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(bodyReaders)
	for i, d := range digests {
		g.Go(func() error {
			b, err := r.body(ctx, d)
			bodies[i] = b
			return err
		})
	}
	return bodies, g.Wait()
}

func (r *Reader) body(ctx context.Context, d target.Digest) (manifest.Body, error) {
	s, err := r.repo.Body(ctx, d)
	switch {
	case errors.Is(err, manifest.ErrNotFound):
		return manifest.Body{Digest: d, Fault: "the platform has no body " + string(d)}, nil
	case malformed(err):
		return manifest.Body{Digest: d, Fault: fmt.Sprintf("%.512s", err.Error())}, nil
	case err != nil:
		return manifest.Body{}, err
	}
	return manifest.Body{Digest: d, Service: s}, nil
}

// mend reads bodies again that the known version lacks. It stops at the first
// one that is still bad: the version needs them all.
func (r *Reader) mend(ctx context.Context) error {
	faulty, _ := r.configs.FaultyDigests()
	if len(faulty) == 0 {
		return nil
	}
	u := &manifest.Update{Base: r.configs.Table()}
	for _, d := range faulty {
		b, err := r.body(ctx, d)
		if err != nil || b.Fault != "" {
			return err
		}
		u.Bodies = append(u.Bodies, b)
	}
	_, err := r.configs.ApplyUpdate(u)
	return err
}
