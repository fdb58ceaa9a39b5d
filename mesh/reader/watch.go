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

// maxBodyFetches is the number of bodies that a reader fetches concurrently.
const maxBodyFetches = 8

// watch applies each new head. The rate of its calls is limited whatever the
// platform returns, and failed calls are retried with exponential backoff.
func (r *Reader) watch(ctx context.Context) error {
	limit := rate.NewLimiter(rate.Limit(r.cfg.WatchRate), r.cfg.WatchBurst)
	delay := r.newBackoff()
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
			r.logger.Infof("cannot read the configuration, retrying with backoff: %v", err)
		}
		if err := wait.For(ctx, delay.NextBackOff()); err != nil {
			return err
		}
	}
}

// watchOnce waits for a head newer than the revision, processes it, and returns
// the revision of the head that was processed.
func (r *Reader) watchOnce(ctx context.Context, revision manifest.Revision) (manifest.Revision, error) {
	head, headRevision, err := r.repository.WaitHead(ctx, revision)
	if errors.Is(err, manifest.ErrUnchanged) {
		return r.recheckHead(ctx, revision)
	}
	return r.processHead(ctx, head, headRevision, err)
}

// recheckHead runs after a watch that reported no change. It reads the head,
// because a head that was restored to an older state may have a revision below
// the watched one, and refetches bodies that were missing or malformed.
func (r *Reader) recheckHead(ctx context.Context, revision manifest.Revision) (manifest.Revision, error) {
	head, headRevision, err := r.repository.Head(ctx)
	if headRevision != revision {
		return r.processHead(ctx, head, headRevision, err)
	}
	if err != nil && !isMalformed(err) {
		return revision, err
	}
	return revision, r.refetchFaultyBodies(ctx)
}

// processHead applies the head or, if it is rejected, records the reason. It
// returns only errors that a retry may resolve.
func (r *Reader) processHead(ctx context.Context, head *manifest.Head, headRevision manifest.Revision, err error) (manifest.Revision, error) {
	if err == nil {
		err = r.applyHead(ctx, head)
	}
	var refusal *manifest.Refusal
	switch {
	case err == nil:
		r.configs.ClearRejection()
		r.configs.SkipQuorum()
	case errors.As(err, &refusal):
		r.reject(refusal)
	case isMalformed(err):
		r.reject(manifest.NewRefusal(0, "", "%v", err))
	default:
		return 0, err
	}
	return headRevision, nil
}

func (r *Reader) reject(refusal *manifest.Refusal) {
	r.logger.Infof("%v", refusal)
	r.configs.SetRejection(refusal)
}

func isMalformed(err error) bool {
	var m *manifest.MalformedError
	return errors.As(err, &m)
}

// applyHead fetches the objects that the head refers to and passes them to the
// configuration store. The error is a *manifest.Refusal if the head is older than
// the known version or is not a successor of it.
func (r *Reader) applyHead(ctx context.Context, head *manifest.Head) error {
	known := r.configs.Table()
	if head.Version < known.Version {
		return newRefusal(head, "it is older than the known version %d: the platform was restored to an older state", known.Version)
	}
	u := &manifest.Update{}
	if known.Version < head.Base.Version {
		base, err := r.fetchBaseTable(ctx, head)
		if err != nil {
			return err
		}
		u.Base, known = base, base
	}
	table, err := known.ApplyAll(head.Changes)
	if err == nil {
		err = checkTable(head, table)
	}
	if err != nil {
		return newRefusal(head, "it is not a successor of the known version %d: %v", known.Version, err)
	}
	if table.Version == r.configs.KnownVersion() {
		return nil
	}
	u.Changes = manifest.ChangesAfter(head.Changes, known.Version)
	u.Bodies, err = r.fetchBodies(ctx, r.configs.MissingDigests(table.Refs))
	if err != nil {
		return err
	}
	_, err = r.configs.ApplyUpdate(u)
	return err
}

// fetchBaseTable reads the base table. A missing or malformed table is returned
// as a *manifest.Refusal of the head.
func (r *Reader) fetchBaseTable(ctx context.Context, head *manifest.Head) (*manifest.Table, error) {
	base, err := r.repository.Table(ctx, head.Base)
	if errors.Is(err, manifest.ErrNotFound) || isMalformed(err) {
		return nil, newRefusal(head, "its base table %d cannot be read: %v", head.Base.Version, err)
	}
	return base, err
}

// checkTable returns manifest.ErrForked if the digest of the table differs from
// the one that the head states for its version.
func checkTable(head *manifest.Head, t *manifest.Table) error {
	want := head.Base.Digest
	if n := len(head.Changes); n > 0 {
		want = head.Changes[n-1].Table
	}
	if head.Version > 0 && t.Digest() != want {
		return fmt.Errorf("%w: version %d", manifest.ErrForked, head.Version)
	}
	return nil
}

func newRefusal(head *manifest.Head, format string, args ...any) *manifest.Refusal {
	editID := ""
	if n := len(head.Changes); n > 0 {
		editID = head.Changes[n-1].EditID
	}
	return manifest.NewRefusal(head.Version, editID, format, args...)
}

// fetchBodies fetches bodies concurrently. A body that is missing on the platform
// or malformed gets a Fault, for which the configuration store refuses the version.
func (r *Reader) fetchBodies(ctx context.Context, digests []target.Digest) ([]manifest.Body, error) {
	bodies := make([]manifest.Body, len(digests))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxBodyFetches)
	for i, d := range digests {
		g.Go(func() error {
			b, err := r.fetchBody(ctx, d)
			bodies[i] = b
			return err
		})
	}
	return bodies, g.Wait()
}

func (r *Reader) fetchBody(ctx context.Context, d target.Digest) (manifest.Body, error) {
	s, err := r.repository.Body(ctx, d)
	switch {
	case errors.Is(err, manifest.ErrNotFound):
		return manifest.Body{Digest: d, Fault: "the platform has no body with digest " + string(d)}, nil
	case isMalformed(err):
		return manifest.Body{Digest: d, Fault: fmt.Sprintf("%.512s", err.Error())}, nil
	case err != nil:
		return manifest.Body{}, err
	}
	return manifest.Body{Digest: d, Service: s}, nil
}

// refetchFaultyBodies fetches the bodies that the known version could not use. It
// stops at the first one that is still faulty, since the version needs them all.
func (r *Reader) refetchFaultyBodies(ctx context.Context) error {
	faulty, _ := r.configs.FaultyDigests()
	if len(faulty) == 0 {
		return nil
	}
	u := &manifest.Update{Base: r.configs.Table()}
	for _, d := range faulty {
		b, err := r.fetchBody(ctx, d)
		if err != nil || b.Fault != "" {
			return err
		}
		u.Bodies = append(u.Bodies, b)
	}
	_, err := r.configs.ApplyUpdate(u)
	return err
}
