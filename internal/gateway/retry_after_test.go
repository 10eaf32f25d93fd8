package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Refused callers do not all return at once. After upstreams crash at the peak, a
// thousand callers are refused within a moment. Urgent callers must return first, and
// each priority must be spread out.
func TestRetryAfterOrdersAndSpreadsCallers(t *testing.T) {
	is := is.New(t)
	const usual = time.Second
	perTenth := map[int]int{}
	var latestUrgent, earliestLeast time.Duration = 0, time.Hour
	for i := range 1000 {
		draw := float64(i) / 1000
		urgent, least := retryAfterOf(usual, 0, draw), retryAfterOf(usual, 3, draw)
		latestUrgent = max(latestUrgent, urgent)
		earliestLeast = min(earliestLeast, least)
		perTenth[int(urgent/(100*time.Millisecond))]++
	}
	is.True(latestUrgent < earliestLeast)
	for tenth, count := range perTenth {
		if count > 201 {
			t.Errorf("%d callers return within the same tenth of a second (number %d)", count, tenth)
		}
	}
	is.True(retryAfterOf(usual, 100, 1) <= 3*usual)
	is.Equal(retryAfterOf(usual, -1, 0), usual)
}
