package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// boundsOnChanges are the bounds for which the pauses between readings are summed.
var boundsOnChanges = []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second}

// pauseCase returns a plan of a node that serves, drawn at random, and when it last had news of the
// table: its own reading, another's, or a reader's report that it can't read.
func pauseCase(draw *rand.Rand, interval time.Duration, began, now time.Time) (p readingPlan, newsAt time.Time) {
	roles := []readingPlan{{}, {leadsGroup: true}, {leadsGroup: true, readsTable: true}, {acting: true}}
	ago := func() time.Time { return now.Add(-time.Duration(draw.Int64N(int64(4 * interval)))) }
	p = roles[draw.IntN(len(roles))]
	p.interval, p.startedAt, p.serves, p.peersAnswer = interval, began, true, true
	p.failures, p.place = draw.IntN(6), draw.IntN(24)
	p.turn, p.startTurn = float64(p.place)/24, p.place+4
	p.listAsOf, p.ordersAsOf, p.readAt, p.messageAge = ago(), ago(), ago(), time.Duration(draw.Int64N(int64(interval)))
	newsAt = earlier(p.listAsOf, p.ordersAsOf)
	switch draw.IntN(3) {
	case 0: // a reader reports that it can't read
		p.outage, p.outageSince, p.outageAt = true, later(p.listAsOf, p.readAt), now
		newsAt = now
	case 1: // a node that has just started
		p.ordersAsOf, p.startedAt = time.Time{}, p.listAsOf
		p.informedAt = p.listAsOf
		newsAt = p.listAsOf
	}
	return p, later(newsAt, p.readAt)
}

// Fails if a node that serves goes without any news of the table for longer than the bound on
// changes, less what one failed call costs.
func TestPausesOfReadingPlanFitTheBoundOnChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, bound := range boundsOnChanges {
		t.Run(fmt.Sprint(bound), func(t *testing.T) {
			s := Settings{Apply: bound, Drain: bound}
			draw := rand.New(rand.NewPCG(1, uint64(bound)))
			allowed := bound - firstRetryDelay
			longest := time.Duration(0)
			for range 200_000 {
				p, newsAt := pauseCase(draw, s.readInterval(), now.Add(-time.Hour), now)
				due := p.due()
				if !due.After(now) {
					continue // it reads at once
				}
				pause := due.Sub(newsAt)
				longest = max(longest, pause)
				if pause > allowed && !p.startedAt.Equal(p.listAsOf) || pause > bound {
					t.Fatalf("reads %v after the last news, %v allowed: %+v", pause, allowed, p)
				}
			}
			t.Logf("longest pause without news of the table %v, bound %v", longest, bound)
		})
	}
}
