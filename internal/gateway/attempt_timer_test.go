package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if an attempt is moved only after its caller has gone. This happens on a route
// whose goal is as long as the caller waits, when the attempt is stuck behind a long
// prompt and half of the retry budget is spent. The attempt must move while time is left
// for another one.
func TestStuckAttemptMovesWhileTimeIsLeft(t *testing.T) {
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
			is.New(t).Equal(lateDelay(test.goal, test.left), test.want)
		})
	}
}
