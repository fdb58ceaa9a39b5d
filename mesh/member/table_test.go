package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

var same = cmpopts.EquateEmpty()

// anyRecord draws a record as its owner and accusers can make it: the owner's
// part follows from incarnation and sequence.
func anyRecord(t *rapid.T, label string) *Record {
	r := &Record{
		Server:      "server",
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, label+" incarnation"),
		Sequence:    rapid.Uint64Range(0, 3).Draw(t, label+" sequence"),
		Service:     "lookup",
		Health:      Health(rapid.IntRange(0, 2).Draw(t, label+" health")),
	}
	r.State = State(r.Sequence)
	if r.Health == Suspected {
		r.SuspectedBy = rapid.SliceOfNDistinct(rapid.SampledFrom([]ServerID{"a", "b", "c"}), 0, 2, rapid.ID).Draw(t, label+" accusers")
	}
	return settled(r)
}

func joinOf(a, b *Record) *Record {
	joined, _ := merge(a, b)
	return joined
}

func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anyRecord(t, "a"), anyRecord(t, "b"), anyRecord(t, "c")
		if d := cmp.Diff(joinOf(a, b), joinOf(b, a), same); d != "" {
			t.Errorf("not commutative: %s", d)
		}
		if d := cmp.Diff(joinOf(joinOf(a, b), c), joinOf(a, joinOf(b, c)), same); d != "" {
			t.Errorf("not associative: %s", d)
		}
		if d := cmp.Diff(joinOf(a, a), a, same); d != "" {
			t.Errorf("not idempotent: %s", d)
		}
		joined := joinOf(a, b)
		v, w := joined.Version(), b.Version()
		if !v.Covers(&w) {
			t.Errorf("%+v was lowered to %+v", *b, *joined)
		}
		if len(joined.SuspectedBy) >= FailureQuorum {
			t.Errorf("%d accusers are kept", len(joined.SuspectedBy))
		}
		if _, changed := merge(a, b); changed == cmp.Equal(joined, a, same) {
			t.Errorf("changed is %t for %+v and %+v", changed, *a, *b)
		}
	})
}

// TestOrderOfArrivalDoesNotMatter merges the same records in two orders, with
// repeats, and expects equal tables; the view is the same as one built anew.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for i := range rapid.IntRange(1, 60).Draw(t, "count") {
			r := anyRecord(t, fmt.Sprint(i))
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
			t.Errorf("different tables")
		}
		if d := cmp.Diff(one.View().all, one.build().all, same); d != "" {
			t.Errorf("patched view differs from a built one: %s", d)
		}
		if d := cmp.Diff(one.View().services, one.build().services, same); d != "" {
			t.Errorf("patched services differ from built ones: %s", d)
		}
	})
}

func TestOwnRecord(t *testing.T) {
	own := Record{Server: "self", Incarnation: 5, State: Ready}
	for _, c := range []struct {
		name  string
		heard Record
		want  uint64
	}{
		{"an older incarnation", Record{Server: "self", Incarnation: 4, Health: Failed}, 5},
		{"its own copy", own, 5},
		{"a suspicion", Record{Server: "self", Incarnation: 5, Health: Suspected, SuspectedBy: []ServerID{"a"}}, 6},
		{"a failure", Record{Server: "self", Incarnation: 5, Health: Failed}, 6},
		{"a life before a clock went back", Record{Server: "self", Incarnation: 900, State: Left}, 901},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable("self")
			table.Announce(own)
			table.Merge([]Record{c.heard})
			got, _ := table.Get("self")
			if got.Incarnation != c.want || got.State != Ready || got.Health != Alive {
				t.Errorf("got %+v, want incarnation %d", got, c.want)
			}
		})
	}
}

func TestReconcileDoubtsOldFailures(t *testing.T) {
	failed := Record{Server: "b", Incarnation: 1, Health: Failed}
	table := NewTable("a")
	table.Merge([]Record{{Server: "b", Incarnation: 1, State: Ready, Service: "lookup"}})
	for _, c := range []struct {
		confirm time.Duration
		want    Health
	}{{time.Hour, Suspected}, {time.Hour, Suspected}, {0, Failed}} {
		table.Reconcile([]Record{failed}, c.confirm)
		if got, _ := table.Get("b"); got.Health != c.want {
			t.Errorf("confirmed after %s: %s, want %s", c.confirm, got.Health, c.want)
		}
	}
}

// TestTombstonesDoNotReturn forgets a record in one table; comparing with a
// table that still has it does not bring it back.
func TestTombstonesDoNotReturn(t *testing.T) {
	one, two := NewTable("one"), NewTable("two")
	gone := []Record{{Server: "gone", Incarnation: 1, State: Left}}
	one.Merge(gone)
	two.Merge(gone)
	one.Forget(0)
	if one.Len() != 0 || one.Root() != two.Root() {
		t.Fatalf("%d records left, roots %x and %x", one.Len(), one.Root(), two.Root())
	}
	hashes := [NumBuckets]uint64{0: 1}
	for i := range hashes {
		hashes[i]++
	}
	for _, list := range two.Differing(&hashes) {
		newer, older := one.Compare(&list)
		if len(newer)+len(older) > 0 {
			t.Errorf("bucket %d: %v and %v", list.Bucket, newer, older)
		}
	}
}
