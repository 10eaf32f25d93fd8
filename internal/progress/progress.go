// Package progress ends a call when no data arrives for too long, instead of bounding only
// its total duration.
//
// A fixed timeout fits one response size. A document that has grown, over a narrow or busy
// link, would time out shortly before its end on every attempt. An idle timeout lets a slow
// transfer finish and still detects a stalled connection quickly.
package progress

import (
	"context"
	"io"
	"time"
)

// Limits are the timeouts of one call.
type Limits struct {
	// FirstByte bounds the time to the first bytes, Idle the time between later reads, and
	// Total the total duration.
	FirstByte, Idle, Total time.Duration
}

type contextKey struct{}

// idleTimer cancels a context when no data has arrived within the idle timeout.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// Context returns a context that is cancelled with cause context.DeadlineExceeded when one
// of the limits is reached. Reads through [Reader] restart the idle timeout. The caller must
// call the returned function to release the timers.
func Context(parent context.Context, l Limits) (context.Context, context.CancelFunc) {
	total, cancelTotal := context.WithTimeoutCause(parent, l.Total, context.DeadlineExceeded)
	ctx, cancel := context.WithCancelCause(total)
	w := &idleTimer{timeout: l.Idle}
	w.timer = time.AfterFunc(l.FirstByte, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, contextKey{}, w), func() {
		w.timer.Stop()
		cancel(context.Canceled)
		cancelTotal()
	}
}

// Reader wraps the body of a response so that each read of data restarts the idle timeout of
// ctx. It returns r itself when ctx does not come from [Context].
func Reader(ctx context.Context, r io.Reader) io.Reader {
	w, ok := ctx.Value(contextKey{}).(*idleTimer)
	if !ok {
		return r
	}
	return &progressReader{r, w}
}

type progressReader struct {
	io.Reader
	idle *idleTimer
}

// Read reads from the wrapped reader and restarts the idle timer when data arrives. A timer
// that has fired already is not restarted.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && r.idle.timer.Stop() {
		r.idle.timer.Reset(r.idle.timeout)
	}
	return n, err
}
