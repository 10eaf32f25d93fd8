package gateway

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/crashguard"
)

// Fails if an attempt whose request is blocked by now is moved: the request may not run again, so
// its answer is the only one.
func TestBlockedAttemptIsNotMoved(t *testing.T) {
	is := is.New(t)
	n := newPipeNode(pipeDialer{"u0": nil, "u1": nil}, 100)
	j := newStreamJob(t, n, httptest.NewRecorder())
	j.chain = crashguard.Chain{crashguard.RequestKey("o", "/", nil)}
	a, _ := n.newAttempt(j)
	j.tried = append(j.tried, a.id)
	is.True(n.allowMove(a, moveReserve))
	for crash := range 5 {
		at := time.Now()
		n.crashGuard.Strike(crashguard.NewCrashID(strconv.Itoa(crash)), j.chain, j.start, at, at)
	}
	is.True(!n.allowMove(a, moveReserve))
}
