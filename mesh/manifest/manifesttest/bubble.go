package manifesttest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// RunInBubble runs f in a synctest bubble with GOMAXPROCS 1, because the race
// detector of Go 1.26 crashes when two processors run timers of the same
// bubble.
func RunInBubble(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
