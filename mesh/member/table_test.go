package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

var equateEmpty = cmpopts.EquateEmpty()

// drawRecord draws a record that its owner and other daemons can produce: the
// owner's fields follow from incarnation and sequence.
func drawRecord(t *rapid.T, label string) *Record {
	r := &Record{
		Server:      "server",
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, label+" incarnation"),
		Sequence:    rapid.Uint64Range(0, 3).Draw(t, label+" sequence"),
		Service:     "lookup",
		Health:      Health(rapid.IntRange(0, 2).Draw(t, label+" health")),
	}
	r.State = State(r.Sequence)
	if r.Health == Suspected {
		r.SuspectedBy = rapid.SliceOfNDistinct(rapid.SampledFrom([]ServerID{"a", "b", "c"}), 0, 2, rapid.ID).Draw(t, label+" suspected by")
	}
	return normalize(r)
}

func mergeRecords(a, b *Record) *Record {
	joined, _ := merge(a, b)
	return joined
}

func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		if d := cmp.Diff(mergeRecords(a, b), mergeRecords(b, a), equateEmpty); d != "" {
			t.Errorf("not commutative: %s", d)
		}
		if d := cmp.Diff(mergeRecords(mergeRecords(a, b), c), mergeRecords(a, mergeRecords(b, c)), equateEmpty); d != "" {
			t.Errorf("not associative: %s", d)
		}
		if d := cmp.Diff(mergeRecords(a, a), a, equateEmpty); d != "" {
			t.Errorf("not idempotent: %s", d)
		}
		joined := mergeRecords(a, b)
		v, w := joined.Version(), b.Version()
		if !v.Covers(&w) {
			t.Errorf("merging %+v gives %+v, which does not cover it", *b, *joined)
		}
		if len(joined.SuspectedBy) >= FailureQuorum {
			t.Errorf("%d suspecting daemons, want fewer than FailureQuorum", len(joined.SuspectedBy))
		}
		if _, changed := merge(a, b); changed == cmp.Equal(joined, a, equateEmpty) {
			t.Errorf("changed = %t for %+v and %+v, does not match the result", changed, *a, *b)
		}
	})
}

// TestMergeInAnyOrderGivesEqualTables merges the same records in two orders, with
// repeats. The tables must be equal, and a patched view must equal a rebuilt one.
func TestMergeInAnyOrderGivesEqualTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for i := range rapid.IntRange(1, 60).Draw(t, "count") {
			r := drawRecord(t, fmt.Sprint(i))
			r.Server = ServerID(rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "server"))
			r.Service = rapid.SampledFrom([]string{"lookup", "archive"}).Draw(t, "service")
			records = append(records, *r)
		}
		one, two := NewTable("self"), NewTable("self")
		for _, r := range records {
			one.Merge([]Record{r})
			one.View()
		}
		two.Merge(rapid.Permutation(append(records, records...)).Draw(t, "order"))
		if one.Root() != two.Root() {
			t.Errorf("tables differ after merging the same records in two orders")
		}
		if d := cmp.Diff(one.View().all, one.build().all, equateEmpty); d != "" {
			t.Errorf("patched view differs from a rebuilt one: %s", d)
		}
		if d := cmp.Diff(one.View().services, one.build().services, equateEmpty); d != "" {
			t.Errorf("patched services differ from rebuilt ones: %s", d)
		}
	})
}

func TestMergeRefutesRecordsOfOwnServer(t *testing.T) {
	own := Record{Server: "self", Incarnation: 5, State: Ready}
	for _, c := range []struct {
		name     string
		received Record
		want     uint64
	}{
		{"older incarnation", Record{Server: "self", Incarnation: 4, Health: Failed}, 5},
		{"same record", own, 5},
		{"suspicion", Record{Server: "self", Incarnation: 5, Health: Suspected, SuspectedBy: []ServerID{"a"}}, 6},
		{"failure", Record{Server: "self", Incarnation: 5, Health: Failed}, 6},
		{"higher incarnation from before the clock was set back", Record{Server: "self", Incarnation: 900, State: Left}, 901},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable("self")
			table.Announce(own)
			table.Merge([]Record{c.received})
			got, _ := table.Get("self")
			if got.Incarnation != c.want || got.State != Ready || got.Health != Alive {
				t.Errorf("got %+v, want ready, alive and incarnation %d", got, c.want)
			}
		})
	}
}

func TestReconcileDowngradesUnconfirmedFailure(t *testing.T) {
	failed := Record{Server: "b", Incarnation: 1, Health: Failed}
	table := NewTable("a")
	table.Merge([]Record{{Server: "b", Incarnation: 1, State: Ready, Service: "lookup"}})
	for _, c := range []struct {
		confirm time.Duration
		want    Health
	}{{time.Hour, Suspected}, {time.Hour, Suspected}, {0, Failed}} {
		table.Reconcile([]Record{failed}, c.confirm)
		if got, _ := table.Get("b"); got.Health != c.want {
			t.Errorf("confirm %s: health %s, want %s", c.confirm, got.Health, c.want)
		}
	}
}

// TestCompareIgnoresRemovedTombstone checks that a tombstone removed from one table
// does not return from a table that still has it.
func TestCompareIgnoresRemovedTombstone(t *testing.T) {
	one, two := NewTable("one"), NewTable("two")
	gone := []Record{{Server: "gone", Incarnation: 1, State: Left}}
	one.Merge(gone)
	two.Merge(gone)
	one.RemoveExpired(0)
	if one.Len() != 0 || one.Root() != two.Root() {
		t.Fatalf("%d records left, want 0; roots %x and %x, want equal", one.Len(), one.Root(), two.Root())
	}
	hashes := [NumBuckets]uint64{0: 1}
	for i := range hashes {
		hashes[i]++
	}
	for _, list := range two.DifferingBuckets(&hashes) {
		newer, older := one.Compare(&list)
		if len(newer)+len(older) > 0 {
			t.Errorf("bucket %d: newer %v and older %v, want none", list.Bucket, newer, older)
		}
	}
}
