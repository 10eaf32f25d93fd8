package confsync

import (
	"runtime/debug"
	"testing"

	"go.uber.org/goleak"
)

// gcPercent reduces garbage collection, because the randomised runs allocate many short-lived
// objects.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	goleak.VerifyTestMain(m)
}
