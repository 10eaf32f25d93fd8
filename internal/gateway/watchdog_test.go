package gateway

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// An upstream's machine loses power in the middle of a stream. No connection
// closes; the caller would wait for three seconds. Two looks find nobody, and
// the attempt ends for another upstream.
func TestDarkMachineEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		ctx, cancel := context.WithCancelCause(context.Background())
		var looks atomic.Int32
		w := watch("10.0.0.1:1", func(_ string, timeout time.Duration) error {
			looks.Add(1)
			time.Sleep(timeout)
			return os.ErrDeadlineExceeded
		}, cancel)
		defer w.Stop()
		time.Sleep(darkAfter - time.Millisecond)
		w.Heard() // an event comes, the last one
		<-ctx.Done()
		is.True(errors.Is(context.Cause(ctx), errDark))
		is.Equal(looks.Load(), int32(darkProbes))
		is.Equal(time.Since(start), 2*darkAfter-time.Millisecond+darkProbes*darkProbe)
	})
}

// A silent upstream whose machine answers, or refuses, is only slow; and one
// lost packet is none.
func TestSlowUpstreamIsLeftAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancelCause(context.Background())
		answers := []error{nil, syscall.ECONNREFUSED, os.ErrDeadlineExceeded, nil, nil}
		var looks atomic.Int32
		w := watch("10.0.0.1:1", func(string, time.Duration) error {
			return answers[min(int(looks.Add(1)), len(answers))-1]
		}, cancel)
		time.Sleep(4*darkAfter + 4*darkProbe)
		is.NoErr(ctx.Err())
		is.True(looks.Load() >= 4)
		w.Stop()
		cancel(nil)
	})
}
