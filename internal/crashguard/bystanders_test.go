package crashguard

import (
	"fmt"
	"testing"
	"time"
)

// lossCase is a hot request, a third of all, that is in flight everywhere when engines are lost.
type lossCase struct {
	name    string
	losses  []time.Duration
	share   float64
	hotFrom time.Duration
	wave    *wave
	// slow is the share of sound requests that were moved before.
	slow float64
}

const (
	lossAt = 10 * time.Second
	// hotBound is the time after the return of the engines within which the request is served.
	hotBound = 3 * time.Second
)

var lossCases = []lossCase{
	{name: "a quarter lost", losses: []time.Duration{lossAt}, share: 0.25},
	{name: "all lost", losses: []time.Duration{lossAt}, share: 1},
	{name: "all lost three times", losses: []time.Duration{lossAt, lossAt + 3*time.Second, lossAt + 6*time.Second}, share: 1},
	{name: "a quarter lost, new to the fleet", losses: []time.Duration{lossAt}, share: 0.25, hotFrom: lossAt - 30*time.Millisecond},
	{name: "all lost, new to the fleet", losses: []time.Duration{lossAt}, share: 1, hotFrom: lossAt - 30*time.Millisecond},
	{name: "all lost three times, new to the fleet", losses: []time.Duration{lossAt, lossAt + 3*time.Second, lossAt + 6*time.Second}, share: 1, hotFrom: lossAt - 30*time.Millisecond},
	{name: "a quarter lost after moves", losses: []time.Duration{lossAt}, share: 0.25, slow: 0.3},
	{name: "all lost after moves", losses: []time.Duration{lossAt}, share: 1, slow: 0.3},
	{name: "all lost three times after moves", losses: []time.Duration{lossAt, lossAt + 3*time.Second, lossAt + 6*time.Second}, share: 1, slow: 0.3},
	{name: "a quarter lost after moves, new to the fleet", losses: []time.Duration{lossAt}, share: 0.25, hotFrom: lossAt - 300*time.Millisecond, slow: 0.3},
	{name: "all lost after moves, new to the fleet", losses: []time.Duration{lossAt}, share: 1, hotFrom: lossAt - 300*time.Millisecond, slow: 0.3},
	{name: "beside a wave, after moves", slow: 0.3, wave: &wave{together: 8, pause: 3500 * time.Millisecond, until: lossAt + 10*time.Second, delay: 400 * time.Millisecond, moveAfter: 45 * time.Millisecond}},
	{name: "beside a wave", wave: &wave{together: 8, pause: 3500 * time.Millisecond, until: lossAt + 10*time.Second, delay: 44 * time.Millisecond}},
	{name: "beside a wave, new to the fleet", hotFrom: time.Second, wave: &wave{together: 8, pause: 3500 * time.Millisecond, until: lossAt + 10*time.Second, delay: 44 * time.Millisecond}},
}

// Fails if a sound request of which many are in flight is refused for long after upstreams were lost.
func TestHotRequestIsServedAfterLosses(t *testing.T) {
	for _, size := range [][2]int{{8, 4}, {8, 18}, {40, 18}} {
		for _, c := range lossCases {
			t.Run(fmt.Sprintf("%s, %d nodes, %d engines", c.name, size[0], size[1]), func(t *testing.T) {
				t.Parallel()
				w := waveWorld(size[0], size[1], 7, c.wave)
				w.losses, w.share, w.hot, w.hotFrom, w.slow = c.losses, c.share, 1.0/3, c.hotFrom, c.slow
				w.soundPerSecond = float64(20 * size[0])
				w.run(lossAt + 30*time.Second)
				perSecond := w.soundPerSecond * w.hot
				t.Logf("%s: %d first tries of the hot request refused, %.1f s of its traffic, %.1f s while an engine was up",
					t.Name(), w.hotRefused, float64(w.hotRefused)/perSecond, float64(w.hotRefusedUp)/perSecond)
				// From its first loss until a trial, its answer and the news of it after the last one.
				bound := w.soundPerSecond * w.hot * (hotBound + worldDowntime).Seconds()
				if len(c.losses) > 0 {
					bound += w.soundPerSecond * w.hot * (c.losses[len(c.losses)-1] - c.losses[0]).Seconds()
				}
				if float64(w.hotRefused) > bound {
					t.Errorf("%d first tries of the hot request were refused, %.0f may", w.hotRefused, bound)
				}
				for i, g := range w.guards {
					if len(g.Blocking(hotRequest, w.time())) > 0 {
						t.Errorf("node %d still refuses the hot request", i)
					}
				}
			})
		}
	}
}
