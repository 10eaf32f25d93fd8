package crashguard

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
		plan RecordPlan
		// wait is the time until the node writes; -1 for never.
		wait time.Duration
	}{
		{"nothing to write", RecordPlan{Own: true}, -1},
		{"own evidence", RecordPlan{UnrecordedSince: now, Own: true, Rank: 9}, 0},
		{"own evidence, after a write", RecordPlan{UnrecordedSince: now, Own: true, tries: busy(time.Millisecond)}, 0},
		{"own evidence, after a burst of writes", RecordPlan{UnrecordedSince: now, Own: true, tries: busy(10*time.Millisecond, 20*time.Millisecond, 30*time.Millisecond, 40*time.Millisecond)}, recordWindow - 40*time.Millisecond},
		{"own evidence of a node that does not write", RecordPlan{UnrecordedSince: now, Own: true, Rank: Recorders}, -1},
		{"evidence of others", RecordPlan{UnrecordedSince: now}, recordDelay},
		{"evidence of others, second in turn", RecordPlan{UnrecordedSince: now, Rank: 1}, recordDelay + recordTurn},
		{"evidence of others, no turn", RecordPlan{UnrecordedSince: now, Rank: recordTurns}, -1},
		{"evidence of others, table unavailable", RecordPlan{UnrecordedSince: now, Unavailable: true}, -1},
		{"own evidence, table unavailable", RecordPlan{UnrecordedSince: now, Own: true, Unavailable: true}, 0},
		{"first failure", RecordPlan{UnrecordedSince: now, Own: true, tries: busy(0), failures: 1}, recordRetryDelay},
		{"many failures", RecordPlan{UnrecordedSince: now, Own: true, tries: busy(0), failures: 100}, maxRecordRetryDelay},
		{"record not read at the start", RecordPlan{Unread: true, Rank: 900, tries: busy(0)}, recordRetryDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at, ok := c.plan.Due()
			is.Equal(ok, c.wait >= 0)
			if ok {
				is.Equal(max(at.Sub(now), 0), c.wait)
			}
		})
	}
}
