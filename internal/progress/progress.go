// Package progress bounds a call by how long nothing comes, and not by how long all
// of it takes.
//
// A fixed limit fits one size: a document that has grown, over a link that is narrow
// or busy, is cut each time shortly before its end. A connection that has fallen
// silent still shows within the pause.
package progress

import (
	"context"
	"io"
	"time"
)

// Limits of a call.
type Limits struct {
	// First is how long the first bytes may take, Pause how long the next ones, and
	// Whole how long all of it.
	First, Pause, Whole time.Duration
}

type key struct{}

// watch ends a context when nothing has come for a pause.
type watch struct {
	timer *time.Timer
	pause time.Duration
}

// Context returns a context that ends, with context.DeadlineExceeded as its cause, at
// one of the limits. [Reader] tells it what has come.
func Context(parent context.Context, l Limits) (context.Context, context.CancelFunc) {
	whole, stop := context.WithTimeoutCause(parent, l.Whole, context.DeadlineExceeded)
	ctx, cancel := context.WithCancelCause(whole)
	w := &watch{pause: l.Pause}
	w.timer = time.AfterFunc(l.First, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, key{}, w), func() {
		w.timer.Stop()
		cancel(context.Canceled)
		stop()
	}
}

// Reader returns a reader of a call's answer whose bytes keep the call's context
// alive. Under another context it is r itself.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	w, ok := ctx.Value(key{}).(*watch)
	if !ok {
		return r
	}
	return &reader{r, w}
}

type reader struct {
	io.Reader
	watch *watch
}

// Read passes on what comes.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && r.watch.timer.Stop() {
		r.watch.timer.Reset(r.watch.pause)
	}
	return n, err
}
