package node

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/request"
)

// failuresPerSecond bounds the lines of failed requests, as an overload refuses thousands a
// second. The metrics count all of them.
const failuresPerSecond = 20

// failureLog logs requests that end without an answer.
type failureLog struct {
	mu       sync.Mutex
	second   int64 // Unix time of the current second
	logged   int   // in the current second
	unlogged int   // since the last line
}

// failedRequest is a request that ended without an answer. The ID is empty if the request was
// refused before it got one.
type failedRequest struct {
	id, org, key string
	arrived      time.Time
	// admitted is when the request left the admission queue; zero if it did not.
	admitted time.Time
}

// logFailure logs the end of a request with an error, which is a *request.Failure.
func (n *Node) logFailure(r failedRequest, err error) {
	var fail *request.Failure
	now := time.Now()
	unlogged, ok := n.failures.allow(now)
	if !ok || !errors.As(err, &fail) {
		return
	}
	queued := now.Sub(r.arrived)
	if !r.admitted.IsZero() {
		queued = r.admitted.Sub(r.arrived)
	}
	event.RequestFailed.Log(n.deps.Log, slog.String("request", r.id), slog.String("org", r.org), slog.String("key", r.key),
		slog.String("code", string(fail.Code)), slog.String("outcome", string(fail.Outcome)), slog.String("reason", fail.Message),
		slog.Duration("after", now.Sub(r.arrived)), slog.Duration("queued", queued), slog.Int("unlogged", unlogged))
}

// allow reports whether a line may be written now, and how many were not since the last one.
func (l *failureLog) allow(now time.Time) (unlogged int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.logged = second, 0
	}
	if l.logged >= failuresPerSecond {
		l.unlogged++
		return 0, false
	}
	l.logged++
	unlogged, l.unlogged = l.unlogged, 0
	return unlogged, true
}
