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

// results collects the result that the client returns for each attempt: complete answers
// in whole, errors in reach.
type results struct {
	mu    sync.Mutex
	whole map[string]bool
	reach map[string]upstream.Reach
}

func (v *results) record(id string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var e *upstream.Error
	if errors.As(err, &e) {
		v.reach[id] = e.Reach
	} else {
		v.whole[id] = err == nil
	}
}

// The client reports a request as not run although it has run. The engine goes down,
// crashes, leaves, freezes and cuts streams under many concurrent requests, so that
// requests fail at every stage. An attempt reported as not sent or declined must have no
// run, a complete answer must have one, and no attempt may have two.
func TestNotRunErrorsHoldUnderFaults(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{BatchLimit: 8, TokensPerAnswer: 4, TokenGap: 100 * time.Microsecond})
	v := &results{whole: make(map[string]bool), reach: make(map[string]upstream.Reach)}
	var wg conc.WaitGroup
	done := make(chan struct{})
	for w := range 8 {
		wg.Go(func() {
			for n := range 250 {
				r.sendAttempt(v, fmt.Sprintf("%d-%d", w, n), n%50 == 49)
			}
		})
	}
	var injector conc.WaitGroup
	injector.Go(func() { r.injectFaults(t, done) })
	wg.Wait()
	close(done)
	injector.Wait()
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

// sendAttempt sends an attempt and records its result. It times out on a frozen engine.
func (r *rig) sendAttempt(v *results, id string, poison bool) {
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
	v.record(id, err)
}

// injectFaults changes the engine's faults in a fixed pseudo-random sequence until done.
func (r *rig) injectFaults(t *testing.T, done <-chan struct{}) {
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
