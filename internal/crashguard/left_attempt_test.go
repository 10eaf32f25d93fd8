package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if a crash does not count against an attempt that its node had left before.
func TestCrashOfAnUpstreamThatWasLeftStrikes(t *testing.T) {
	now := time.Unix(1000, 0)
	chain := Chain{PartKey("part"), RequestKey("o", "/", nil)}
	id := NewCrashID("u")
	leave := func(g *Guard) { g.Leave(id, chain, now.Add(-time.Second), now.Add(time.Second), now) }
	tests := []struct {
		name  string
		crash func(g *Guard)
		want  int
	}{
		{"crash found by this node", func(g *Guard) { leave(g); g.Crashed(id, now.Add(time.Second), now.Add(time.Second)) }, 1},
		{"crash found twice", func(g *Guard) {
			leave(g)
			g.Crashed(id, now, now)
			g.Crashed(id, now, now)
		}, 1},
		{"two attempts there", func(g *Guard) { leave(g); leave(g); g.Crashed(id, now, now) }, 1},
		{"crash known before", func(g *Guard) { g.Strike(id, Chain{PartKey("other")}, now, now, now); leave(g) }, 1},
		{"crash reported by a peer", func(g *Guard) {
			leave(g)
			peer := New()
			peer.Strike(id, Chain{PartKey("other")}, now, now, now)
			g.Merge(peer.Report(now.Add(time.Second)), now.Add(time.Second))
		}, 1},
		{"no crash", leave, 0},
		{"crash of another upstream", func(g *Guard) { leave(g); g.Crashed(NewCrashID("v"), now, now) }, 0},
		{"crash long after the upstream's work on it", func(g *Guard) {
			leave(g)
			at := now.Add(time.Second + noticeTime + 1)
			g.Crashed(id, at, at)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := New()
			test.crash(g)
			for _, key := range chain {
				is.Equal(g.Strikes(key), test.want)
			}
		})
	}
}

// Fails if attempts that were left take memory without bound, or for long.
func TestLeftAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	g, now := New(), time.Unix(1000, 0)
	for i := range 2 * maxLeft {
		g.Leave(NewCrashID(fmt.Sprint(i%300)), Chain{RequestKey("o", "/", fmt.Append(nil, i))}, now, now.Add(time.Hour), now)
	}
	is.Equal(g.leftCount, maxLeft)
	is.Equal(len(g.AwaitsCrash(now.Add(workTime+noticeTime-1))), 300)
	is.Equal(len(g.AwaitsCrash(now.Add(workTime+noticeTime))), 0)
	is.Equal(g.leftCount, 0)
}

// Fails if a request that crashes upstreams after it was moved off them reaches upstreams late.
func TestRequestThatCrashesUpstreamsAfterItWasMoved(t *testing.T) {
	const maxLate = 3
	for _, nodes := range []int{2, 8, 48} {
		for _, engines := range []int{2, 4, 8, 18, 40} {
			t.Run(fmt.Sprintf("%d nodes, %d engines", nodes, engines), func(t *testing.T) {
				t.Parallel()
				plays, failed, worst, crashes := 0, 0, 0, 0
				for _, delay := range []time.Duration{1, 20, 77, 100, 200, 400, 700} {
					for _, copies := range []int{1, 2, 3} {
						for _, pause := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second} {
							v := &wave{together: copies, pause: pause, until: time.Second + 8*pause, delay: delay * time.Millisecond, moveAfter: 45 * time.Millisecond}
							w := waveWorld(nodes, engines, uint64(delay)*uint64(copies), v)
							w.run(v.until + time.Second)
							late := w.late(waveName, costlyStrikes, lateAfter)
							plays, worst, crashes = plays+1, max(worst, late), crashes+len(w.crashes[waveName])
							if late > maxLate {
								failed++
								t.Errorf("%d copies each %v, crashes after %d ms: %d late, %d may; %d crashes", copies, pause, delay, late, maxLate, len(w.crashes[waveName]))
							}
						}
					}
				}
				t.Logf("%d of %d plays failed, %d late at the worst, %.1f crashes a play", failed, plays, worst, float64(crashes)/float64(plays))
			})
		}
	}
}
