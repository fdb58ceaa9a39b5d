package manifesttest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// RunInBubble runs f in a bubble of its own time, on one processor: the race
// detector of Go 1.26 crashes when two of them run timers of one bubble.
func RunInBubble(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
