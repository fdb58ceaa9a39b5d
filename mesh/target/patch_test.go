package target

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawService returns a service with up to 21 classes, whose names, order,
// timeouts and parts vary.
func drawService(t *rapid.T, label string) *Service {
	names := rapid.SliceOfDistinct(rapid.IntRange(0, 20), rapid.ID).Draw(t, label)
	s := &Service{Name: "site"}
	for _, n := range names {
		c := Class{Name: fmt.Sprint("r-", n), Path: fmt.Sprintf("/%d/", n), Timeout: time.Duration(rapid.IntRange(1, 2).Draw(t, label)) * time.Second}
		if rapid.Bool().Draw(t, label) {
			c.Parts = []Part{{Service: "lookup", Weight: 1}}
		}
		s.Classes = append(s.Classes, c)
	}
	return s
}

func TestPatchApplyReturnsNewDeclaration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawService(t, "from"), drawService(t, "to")
		p, _ := NewPatch(from.Digest(), from, to)
		got, err := p.Apply(from)
		if err != nil || got.Digest() != to.Digest() {
			t.Fatalf("Apply returned %v, error %v; want %v", got, err, to)
		}
	})
}

func TestNewPatchIncludesOnlyChangedClasses(t *testing.T) {
	from := &Service{Name: "site"}
	for i := range 1000 {
		from.Classes = append(from.Classes, Class{Name: fmt.Sprint("r-", i), Path: fmt.Sprintf("/%d/", i)})
	}
	to := &Service{Name: "site", Classes: append([]Class(nil), from.Classes...)}
	to.Classes[400].Timeout = time.Second
	p, included := NewPatch(from.Digest(), from, to)
	if included != 1 || len(p.Pieces) != 2 {
		t.Errorf("patch has %d new classes in %d pieces, want 1 in 2", included, len(p.Pieces))
	}
	if got, err := p.Apply(from); err != nil || cmp.Diff(to, got) != "" {
		t.Errorf("Apply: error %v, diff (-want +got):\n%s", err, cmp.Diff(to, got))
	}
}

func TestPatchApplyRejectsInvalidRange(t *testing.T) {
	from := &Service{Name: "site", Classes: make([]Class, 3)}
	for _, piece := range []Piece{{Start: -1, Count: 1}, {Start: 0, Count: -1}, {Start: 4}, {Start: 2, Count: 2}, {Start: 1, Count: 1 << 62}} {
		if _, err := (&Patch{Pieces: []Piece{piece}}).Apply(from); !errors.Is(err, ErrPatchMismatch) {
			t.Errorf("piece %+v: error %v, want ErrPatchMismatch", piece, err)
		}
	}
}
