package revision_test

import (
	"context"
	"testing"
	"testing/synctest"

	"fescuehoist.example/mesh/revision"
)

// Guards against revisions of two epochs that are compared by their numbers.
func TestRevisionOfLaterEpochIsLater(t *testing.T) {
	ordered := []revision.Revision{{}, {Number: 7}, {Epoch: 1, Number: 2}, {Epoch: 1, Number: 90}, {Epoch: 2, Number: 1}, {Epoch: 2, Number: 3}}
	for i, a := range ordered {
		for j, b := range ordered {
			if got, want := a.After(b), i > j; got != want {
				t.Errorf("(%s).After(%s) is %t, want %t", a, b, got, want)
			}
			if got := revision.Latest(a, b); got != ordered[max(i, j)] {
				t.Errorf("Latest(%s, %s) is %s", a, b, got)
			}
		}
	}
}

// Guards against a late answer of an earlier epoch that takes the latest one back, and
// against tasks that miss a rise between two waits.
func TestEpochsOnlyRiseAndWakeWaitingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e revision.Epochs
		ctx, cancel := context.WithCancel(t.Context())
		heard := make(chan uint64, 1)
		go func() {
			epoch, _ := e.AwaitAfter(ctx, 4)
			heard <- epoch
		}()
		for _, epoch := range []uint64{3, 2, 4} {
			e.Observe(epoch)
			synctest.Wait()
		}
		if len(heard) > 0 || e.Latest() != 4 {
			t.Fatalf("latest epoch %d, and %d waits for a later one than 4 ended; want 4 and none", e.Latest(), len(heard))
		}
		if before, rose := e.Observe(6); before != 4 || !rose {
			t.Errorf("epoch 6: before %d, rose %t; want 4 and true", before, rose)
		}
		if epoch := <-heard; epoch != 6 {
			t.Errorf("waited for epoch %d, want 6", epoch)
		}
		cancel()
		if _, err := e.AwaitAfter(ctx, 6); err == nil {
			t.Error("no error although the context has ended")
		}
	})
}
