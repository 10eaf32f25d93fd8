package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A label is asked for whose goal is all the time that its caller has. Its attempt is stuck
// behind a long prompt, the retry budget is half spent, and it may be moved for sure only
// when its answer would be far too late: that was after the caller had gone, while other
// upstreams were idle all along. It is moved while there is time for another attempt.
func TestStuckAttemptIsMovedWhileThereIsTime(t *testing.T) {
	tests := []struct {
		name             string
		goal, left, want time.Duration
	}{
		{"a goal far within the caller's time", 3 * time.Second, 20 * time.Second, 4500 * time.Millisecond},
		{"a goal as long as the caller waits", 5 * time.Second, 5 * time.Second, 2500 * time.Millisecond},
		{"a second attempt, late already", 3 * time.Second, 2 * time.Second, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(lateAfter(test.goal, test.left), test.want)
		})
	}
}
