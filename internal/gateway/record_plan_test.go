package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if evidence of crashes is written late, not at all, or by more nodes or more often than the
// table bears.
func TestRecordPlan(t *testing.T) {
	now := time.Unix(10_000, 0)
	busy := func(ages ...time.Duration) (tries [recordBurst]time.Time) {
		for i, age := range ages {
			tries[i] = now.Add(-age)
		}
		return tries
	}
	for _, c := range []struct {
		name string
		plan recordPlan
		// wait is the time until the node writes; -1 for never.
		wait time.Duration
	}{
		{"nothing to write", recordPlan{own: true}, -1},
		{"own evidence", recordPlan{unrecordedSince: now, own: true, rank: 9}, 0},
		{"own evidence, after a write", recordPlan{unrecordedSince: now, own: true, tries: busy(time.Millisecond)}, 0},
		{"own evidence, after a burst of writes", recordPlan{unrecordedSince: now, own: true, tries: busy(10*time.Millisecond, 20*time.Millisecond, 30*time.Millisecond, 40*time.Millisecond)}, recordWindow - 40*time.Millisecond},
		{"own evidence of a node that does not write", recordPlan{unrecordedSince: now, own: true, rank: crashRecorders}, -1},
		{"evidence of others", recordPlan{unrecordedSince: now}, recordDelay},
		{"evidence of others, second in turn", recordPlan{unrecordedSince: now, rank: 1}, recordDelay + recordTurn},
		{"evidence of others, no turn", recordPlan{unrecordedSince: now, rank: recordTurns}, -1},
		{"evidence of others, table unavailable", recordPlan{unrecordedSince: now, unavailable: true}, -1},
		{"own evidence, table unavailable", recordPlan{unrecordedSince: now, own: true, unavailable: true}, 0},
		{"first failure", recordPlan{unrecordedSince: now, own: true, tries: busy(0), failures: 1}, maxRetryDelay},
		{"many failures", recordPlan{unrecordedSince: now, own: true, tries: busy(0), failures: 100}, maxRecordRetryDelay},
		{"record not read at the start", recordPlan{unread: true, rank: 900, tries: busy(0)}, maxRetryDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at, ok := c.plan.due()
			is.Equal(ok, c.wait >= 0)
			if ok {
				is.Equal(max(at.Sub(now), 0), c.wait)
			}
		})
	}
}
