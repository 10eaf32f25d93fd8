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

// Fails if a request under which several upstreams have crashed is moved to a further one, or a request under
// which one has crashed by chance stays at a slow upstream.
func TestRequestWithSeveralCrashesIsNotMoved(t *testing.T) {
	is := is.New(t)
	n := newPipeNode(pipeDialer{"u0": nil, "u1": nil}, 100)
	j := newStreamJob(t, n, httptest.NewRecorder())
	j.chain = crashguard.Chain{crashguard.PartKey("part"), crashguard.RequestKey("o", "/", nil)}
	a, _ := n.newAttempt(j)
	j.tried = append(j.tried, a.id)
	for crash, want := range []bool{true, true, false} {
		is.Equal(n.allowMove(a, moveReserve), want)
		at := time.Now()
		n.crashGuard.Strike(crashguard.NewCrashID(strconv.Itoa(crash)), j.chain.Request(), j.start, at, at)
	}
}
