package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// loadWorld simulates a fleet in which half of the engines should get a new version.
// Loads share a weight store: one alone takes soloLoadTime, and at most storeRate loads a
// minute complete. It answers one machine at once.
type loadWorld struct {
	*benchDriver
	storeRate   int
	remaining   map[string]float64 // the part of each running load that is left, by engine
	loaded      map[string]bool
	maxLoads    int
	sent        int
	failing     bool
	failedLoads int
}

const soloLoadTime = time.Minute

func newLoadWorld(engines, storeRate int) *loadWorld {
	w := &loadWorld{storeRate: storeRate, remaining: map[string]float64{}, loaded: map[string]bool{}}
	w.benchDriver = newBenchDriver(engines, "m: old serving, new serving")
	w.override = w.respond
	return w
}

func (w *loadWorld) respond(a Action) (Event, bool) {
	switch a := a.(type) {
	case ReadEngine:
		w.reads++
		return EngineAnswer{Engine: a.Engine, Began: a.Began, State: w.state(a.Engine)}, true
	case SendOrder:
		w.sent++
		if w.failing {
			w.failedLoads++
		} else if _, ok := w.remaining[a.Engine]; !ok && a.Order.Action == upstream.LoadVersion {
			w.remaining[a.Engine] = 1
		}
		return OrderAnswer{Engine: a.Engine, Began: a.Began, Result: OrderAccepted}, true
	}
	return nil, false
}

func (w *loadWorld) state(engine string) upstream.EngineState {
	s := upstream.EngineState{Versions: []string{"old"}}
	if w.loaded[engine] {
		s.Versions = append(s.Versions, "new")
	} else if _, ok := w.remaining[engine]; ok {
		s.Loading = []string{"new"}
	}
	return s
}

// step simulates one second of the driver and the store.
func (w *loadWorld) step() {
	w.maxLoads = max(w.maxLoads, len(w.remaining))
	part := min(1/soloLoadTime.Seconds(), float64(w.storeRate)/60/float64(max(1, len(w.remaining))))
	for e := range w.remaining {
		if w.remaining[e] -= part; w.remaining[e] <= 0 {
			delete(w.remaining, e)
			w.loaded[e] = true
		}
	}
	w.runSecond()
}

// rollOut returns how long it takes until half of the engines have the version.
func (w *loadWorld) rollOut(engines int) time.Duration {
	started := w.now
	for len(w.loaded) < engines/2 && w.now.Sub(started) < 48*time.Hour {
		w.step()
	}
	return w.now.Sub(started)
}

// Regression: rollouts left the weight store idle. With a fixed limit of four loads at
// one time, a version that half of 10,000 engines should have took 21 hours.
func TestLoadLimitFollowsTheStoreRate(t *testing.T) {
	for _, c := range []struct {
		engines, storeRate int
		within             time.Duration
	}{
		{24, 1000, 10 * time.Minute},
		{250, 1000, 40 * time.Minute},
		{2_500, 1000, time.Hour},
		{10_000, 1000, 2 * time.Hour},
		{10_000, 30, 5 * time.Hour},
	} {
		if c.engines > maxEngines {
			continue
		}
		t.Run(fmt.Sprintf("engines=%d,store=%d", c.engines, c.storeRate), func(t *testing.T) {
			w := newLoadWorld(c.engines, c.storeRate)
			took := w.rollOut(c.engines)
			seconds := took.Seconds()
			t.Logf("complete after %v; at most %d loads at one time; %.1f reads and %.2f orders a second, %.0f B/s of row written",
				took, w.maxLoads, float64(w.reads)/seconds, float64(w.sent)/seconds, float64(w.rowBytesWritten)/seconds)
			is := is.New(t)
			is.True(took <= c.within)
			is.True(w.maxLoads <= max(DefaultInitialLoads, min(DefaultMaxLoads, c.engines/16)))
		})
	}
}

// No more loads may run than the store can serve. It supports 30 loads a minute; more at
// one time only wait for each other and delay the store's other readers.
func TestLoadLimitStopsAtTheStoreRate(t *testing.T) {
	is := is.New(t)
	w := newLoadWorld(2_500, 30)
	took := w.rollOut(2_500)
	t.Logf("complete after %v; at most %d loads at one time", took, w.maxLoads)
	is.True(w.maxLoads <= 64) // one trial above the final limit of 32
	is.True(took <= time.Hour)
}

// Without a falling limit, a driver keeps an overloaded store from recovering. The store
// refuses, and loads are sent again every few seconds; the limit must fall to one.
func TestLoadLimitFallsWhenLoadsFail(t *testing.T) {
	is := is.New(t)
	w := newLoadWorld(2_500, 1000)
	for w.m.limiter.limit < 64 {
		w.step()
	}
	w.failing = true
	for range 600 {
		w.step()
	}
	is.True(w.failedLoads > 0)
	is.Equal(w.m.limiter.limit, 1)
	w.failing = false
	for w.m.limiter.limit < 64 {
		w.step()
	}
}
