package confsync

import (
	"runtime/debug"
	"testing"

	"go.uber.org/goleak"
)

// gcPercent lets the randomised runs, which make much short-lived garbage,
// spend their time on seeds.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	goleak.VerifyTestMain(m)
}
