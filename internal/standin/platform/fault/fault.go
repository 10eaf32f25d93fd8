package fault

import (
	"fmt"
	"time"
)

// MaxDelay is the longest accepted delay of a call.
const MaxDelay = 10 * time.Minute

// Fault configures how one service fails. The zero value injects no faults.
type Fault struct {
	// Down refuses every call and interrupts running downloads.
	Down bool `json:"down"`
	// DelayMS is the delay before a call takes effect, in milliseconds. A write
	// still takes effect when its caller gives up during the delay.
	DelayMS int64 `json:"delay_ms"`
	// RefuseFraction is the fraction of calls that are refused, 0 to 1.
	RefuseFraction float64 `json:"refuse_fraction"`
	// DropFraction is the fraction of calls whose connection breaks before they
	// take effect, 0 to 1. They get no answer.
	DropFraction float64 `json:"drop_fraction"`
	// LoseAcks is how many of the next writes that take effect get no answer. Each
	// lost answer decrements it.
	LoseAcks int `json:"lose_acks"`
	// LoseAckFraction is the fraction of writes that get no answer, 0 to 1. It
	// includes writes without effect, whose conditions failed.
	LoseAckFraction float64 `json:"lose_ack_fraction"`
	// OneWay lets calls take effect but sends no answer. The connection stays open
	// until the caller gives up.
	OneWay bool `json:"one_way"`
}

// Delay returns DelayMS as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// check returns a message for each setting that is invalid for the service.
func (f Fault) check(s Service) []string {
	var problems []string
	add := func(field string, value any, accepted string) {
		problems = append(problems, fmt.Sprintf("%s.%s: %v; accepted is %s", s, field, value, accepted))
	}
	if f.DelayMS < 0 || f.DelayMS > MaxDelay.Milliseconds() {
		add("delay_ms", f.DelayMS, fmt.Sprintf("0 to %d", MaxDelay.Milliseconds()))
	}
	if !isFraction(f.RefuseFraction) {
		add("refuse_fraction", f.RefuseFraction, "0 to 1")
	}
	if !isFraction(f.DropFraction) {
		add("drop_fraction", f.DropFraction, "0 to 1")
	}
	if f.LoseAcks < 0 {
		add("lose_acks", f.LoseAcks, "0 or more")
	}
	if !isFraction(f.LoseAckFraction) {
		add("lose_ack_fraction", f.LoseAckFraction, "0 to 1")
	}
	if f.LoseAcks > 0 && !s.hasWrites() {
		add("lose_acks", f.LoseAcks, "0, since nothing is written there")
	}
	if f.LoseAckFraction > 0 && !s.hasWrites() {
		add("lose_ack_fraction", f.LoseAckFraction, "0, since nothing is written there")
	}
	return problems
}

// isFraction reports whether f is in [0,1]. It is false for NaN.
func isFraction(f float64) bool { return f >= 0 && f <= 1 }
