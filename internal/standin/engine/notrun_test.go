package engine_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// verdicts collects what the client said of each attempt.
type verdicts struct {
	mu    sync.Mutex
	whole map[string]bool
	reach map[string]upstream.Reach
}

func (v *verdicts) note(id string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var e *upstream.Error
	if errors.As(err, &e) {
		v.reach[id] = e.Reach
	} else {
		v.whole[id] = err == nil
	}
}

// A request is called "not run" and has run. The engine goes down, crashes,
// leaves, freezes and cuts streams under many requests at a time, so that some
// fail at every point of their way. None that is called not sent or declined
// may have a run, a whole answer has one, and none has two.
func TestNotRunIsTrueUnderFaults(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{BatchLimit: 8, TokensPerAnswer: 4, TokenGap: 100 * time.Microsecond})
	v := &verdicts{whole: make(map[string]bool), reach: make(map[string]upstream.Reach)}
	var wg conc.WaitGroup
	done := make(chan struct{})
	for w := range 8 {
		wg.Go(func() {
			for n := range 250 {
				r.one(v, fmt.Sprintf("%d-%d", w, n), n%50 == 49)
			}
		})
	}
	var faulty conc.WaitGroup
	faulty.Go(func() { r.misbehave(t, done) })
	wg.Wait()
	close(done)
	faulty.Wait()
	runs := make(map[string]int)
	for _, run := range r.server.Runs(0).Runs {
		runs[run.Attempt]++
	}
	for id, n := range runs {
		is.True(n == 1)
		reach, failed := v.reach[id]
		is.True(!failed || reach == upstream.MaybeRun)
	}
	for id := range v.whole {
		is.Equal(runs[id], 1)
	}
	is.Equal(len(v.whole)+len(v.reach), 8*250)
	t.Logf("whole %d, failed %d, %+v", len(v.whole), len(v.reach), r.server.Counts())
}

// one sends an attempt; a caller gives up on a frozen engine.
func (r *rig) one(v *verdicts, id string, poison bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	prompt := "x"
	if poison {
		prompt = "poison"
	}
	st, err := r.client.Start(ctx, r.server.Addr(), attempt(id, "v1", prompt))
	if err == nil {
		_, err = readAll(st)
	}
	v.note(id, err)
}

// misbehave changes the engine's faults by a fixed series until done.
func (r *rig) misbehave(t *testing.T, done <-chan struct{}) {
	for n := uint64(0); ; n++ {
		select {
		case <-done:
			r.faults(t, func(f *engine.Faults) { f.Frozen, f.Down = false, false })
			return
		case <-time.After(2 * time.Millisecond):
		}
		draw := model.Draw(1, n)
		r.faults(t, func(f *engine.Faults) {
			f.Down = draw%5 == 0
			f.Leaving = draw%5 == 1
			f.Frozen = draw%5 == 2
			f.CutStreams, f.CutAfter = int(draw>>8%3), int(draw>>16%4)
			f.CrashMarker = "poison"
			f.RestartMillis = 3
		})
	}
}
