package gossipbench

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }

// service returns a service with four classes. A different latency gives it a
// different content and digest.
func service(i int, latency time.Duration) *target.Service {
	s := &target.Service{Name: serviceName(i)}
	for k, name := range []string{"search", "submit", "geometry", "export"} {
		s.Classes = append(s.Classes, target.Class{
			Name: name, Method: "GET", Path: "/" + name, Rank: k + 1, Latency: latency, Success: 0.99,
			Timeout: time.Minute, Idempotent: true, Notice: time.Hour,
		})
	}
	return s
}

// publishAll publishes all services as the first version.
func (f *fleet) publishAll(ctx context.Context) error {
	edit := &manifest.Edit{ID: uuid.NewString(), Author: "bench"}
	for i := range f.options.Services {
		edit.Update = append(edit.Update, service(i, time.Second))
	}
	_, err := f.editor.Publish(ctx, edit)
	return oops.In("bench").Wrapf(err, "publishing all %d services", f.options.Services)
}

// edit publishes a change of one service. It returns the version of the change and
// the time at which the platform had accepted it.
func (f *fleet) edit(ctx context.Context) (manifest.Version, time.Time, error) {
	f.editCount++
	n := f.editCount
	edit := &manifest.Edit{
		ID: uuid.NewString(), Author: "bench",
		Update: []*target.Service{service(n%f.options.Services, time.Second+time.Duration(n)*time.Millisecond)},
	}
	c, err := f.editor.Publish(ctx, edit)
	if err != nil {
		return 0, time.Time{}, oops.In("bench").Wrapf(err, "publishing edit %d", n)
	}
	return c.Version, time.Now(), nil
}
