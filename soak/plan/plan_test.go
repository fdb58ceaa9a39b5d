package plan

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestGenerateSameSeedSameSchedule(t *testing.T) {
	const length = 20 * time.Second
	first, repeated, other := Generate(7, 6, length), Generate(7, 6, length), Generate(8, 6, length)
	if diff := cmp.Diff(first, repeated); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(first, other) {
		t.Error("seeds 7 and 8 gave the same schedule")
	}
	for _, e := range first {
		if e.At+e.Length > length+maxBurstSize*maxBurstGap || len(e.Hosts) == 0 {
			t.Errorf("event %s ends too late or has no hosts", e)
		}
	}
}
