package gateway

import (
	"fmt"
	"testing"
	"time"
)

// bounds on changes for which the pauses between readings are summed.
var boundsOnChanges = []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second}

// Fails if a node that serves goes without any news of the table, its own reading or a sign that
// its reader lives, for longer than the bound on changes, less what one failed call costs.
func TestPausesOfReadingPlanFitTheBoundOnChanges(t *testing.T) {
	began := time.Unix(1000, 0)
	now := began.Add(time.Minute)
	for _, bound := range boundsOnChanges {
		s := Settings{Apply: bound, Drain: bound}
		longest := bound - firstRetryDelay
		for place := range 24 {
			for failures := range 6 {
				for _, role := range []readingPlan{{}, {leadsGroup: true}, {leadsGroup: true, readsTable: true}, {acting: true}} {
					for _, informed := range []time.Duration{-2 * bound, -bound / 10, bound / 10} {
						p := role
						p.interval, p.startedAt, p.failures = s.readInterval(), began, failures
						p.place, p.turn = place, float64(place)/24
						p.listAsOf, p.ordersAsOf, p.readAt = now.Add(informed), now.Add(informed), now
						if failures == 0 {
							p.readAt = now.Add(-bound)
						}
						p.messageAge = p.interval
						if pause := p.due().Sub(later(p.listAsOf, p.readAt)); pause > longest {
							t.Errorf("%s: reads after %v, %v allowed", fmt.Sprintf("bound %v, place %d, %d failures, leader %v, reader %v, acting %v, informed %v", bound, place, failures, p.leadsGroup, p.readsTable, p.acting, informed), pause, longest)
						}
					}
				}
			}
		}
	}
}
