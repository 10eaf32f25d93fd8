package progress

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var limits = Limits{FirstByte: time.Second, Idle: 100 * time.Millisecond, Total: 3 * time.Second}

// slowReader returns one byte after each pause, until ctx ends.
type slowReader struct {
	ctx    context.Context
	pauses []time.Duration
}

func (d *slowReader) Read(p []byte) (int, error) {
	if len(d.pauses) == 0 {
		return 0, io.EOF
	}
	t := time.NewTimer(d.pauses[0])
	defer t.Stop()
	d.pauses = d.pauses[1:]
	select {
	case <-d.ctx.Done():
		return 0, context.Cause(d.ctx)
	case <-t.C:
		p[0] = 'x'
		return 1, nil
	}
}

// A timeout ends a stalled transfer, but not a slow one while data keeps arriving.
func TestCallEndsOnlyAtALimit(t *testing.T) {
	slow := make([]time.Duration, 20)
	for i := range slow {
		slow[i] = 90 * time.Millisecond
	}
	endless := make([]time.Duration, 100)
	for i := range endless {
		endless[i] = 90 * time.Millisecond
	}
	for _, c := range []struct {
		name   string
		pauses []time.Duration
		ends   time.Duration // time of cancellation; 0 when the body is read to its end
	}{
		{"slow and steady", slow, 0},
		{"late first byte", []time.Duration{900 * time.Millisecond, 0}, 0},
		{"no first byte", []time.Duration{time.Hour}, time.Second},
		{"stalled after some data", []time.Duration{0, 50 * time.Millisecond, time.Hour}, 150 * time.Millisecond},
		{"endless body", endless, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := Context(context.Background(), limits)
				defer cancel()
				began := time.Now()
				_, err := io.ReadAll(Reader(ctx, &slowReader{ctx, c.pauses}))
				if c.ends == 0 {
					is.NoErr(err)
					return
				}
				is.True(errors.Is(err, context.DeadlineExceeded))
				is.Equal(time.Since(began), c.ends)
			})
		})
	}
}

func TestReaderIsUnchangedUnderAnotherContext(t *testing.T) {
	r := &slowReader{ctx: context.Background()}
	is.New(t).Equal(Reader(context.Background(), r), io.Reader(r))
}
