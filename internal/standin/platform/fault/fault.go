package fault

import (
	"fmt"
	"time"
)

// MaxDelay is the longest delay accepted.
const MaxDelay = 10 * time.Minute

// Fault is how one service fails. The zero value is a service in order.
type Fault struct {
	// Down refuses every call; a download that runs is cut off.
	Down bool `json:"down"`
	// DelayMS is how many milliseconds a call waits before it takes effect.
	// A write whose caller gives up while it waits takes effect all the same.
	DelayMS int64 `json:"delay_ms"`
	// RefuseFraction is the fraction of calls refused.
	RefuseFraction float64 `json:"refuse_fraction"`
	// DropFraction is the fraction of calls that break off with no effect and
	// no answer.
	DropFraction float64 `json:"drop_fraction"`
	// LoseAcks is how many of the next writes that take effect get no answer;
	// it counts down.
	LoseAcks int `json:"lose_acks"`
	// LoseAckFraction is the fraction of writes that get no answer, whether
	// they took effect or not (a condition failed).
	LoseAckFraction float64 `json:"lose_ack_fraction"`
	// OneWay lets calls arrive and take effect while no answer comes back: the
	// caller waits for as long as it wants.
	OneWay bool `json:"one_way"`
}

// Delay returns DelayMS as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// check returns what is wrong with the settings of a service.
func (f Fault) check(s Service) []string {
	var wrong []string
	add := func(field string, value any, accepted string) {
		wrong = append(wrong, fmt.Sprintf("%s.%s: %v; accepted is %s", s, field, value, accepted))
	}
	if f.DelayMS < 0 || f.DelayMS > MaxDelay.Milliseconds() {
		add("delay_ms", f.DelayMS, fmt.Sprintf("0 to %d", MaxDelay.Milliseconds()))
	}
	if !fraction(f.RefuseFraction) {
		add("refuse_fraction", f.RefuseFraction, "0 to 1")
	}
	if !fraction(f.DropFraction) {
		add("drop_fraction", f.DropFraction, "0 to 1")
	}
	if f.LoseAcks < 0 {
		add("lose_acks", f.LoseAcks, "0 or more")
	}
	if !fraction(f.LoseAckFraction) {
		add("lose_ack_fraction", f.LoseAckFraction, "0 to 1")
	}
	if f.LoseAcks > 0 && !s.writes() {
		add("lose_acks", f.LoseAcks, "0, since nothing is written there")
	}
	if f.LoseAckFraction > 0 && !s.writes() {
		add("lose_ack_fraction", f.LoseAckFraction, "0, since nothing is written there")
	}
	return wrong
}

// fraction is false for NaN too.
func fraction(f float64) bool { return f >= 0 && f <= 1 }
