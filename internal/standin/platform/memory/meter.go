package memory

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/limit"
)

// meter limits the rate of one kind of call, and counts the admitted and the refused
// calls.
type meter struct {
	bucket  *limit.Bucket
	calls   limit.CallCounter
	refused uint64
}

func newMeter(rate float64) *meter { return &meter{bucket: limit.NewBucket(rate)} }

// admit counts an admitted call, or returns a refusal with the time to wait.
func (m *meter) admit(now time.Time) error {
	wait, ok := m.bucket.Take(now)
	if !ok {
		m.refused++
		return &wire.Refusal{
			Reason:       wire.RateLimited,
			Detail:       "over the rate limit",
			RetryAfterMS: roundUp(wait),
		}
	}
	m.calls.Add(now)
	return nil
}

// roundUp returns d in milliseconds. It rounds up, so that a caller that waits that
// long does not retry too early.
func roundUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
