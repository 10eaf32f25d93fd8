package crashguard

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// HeldKey is a key of which requests are refused, and why.
type HeldKey struct {
	Key string `json:"key"`
	// Part is set for a part of prompts that requests share; otherwise it is one request.
	Part bool `json:"part"`
	// Convicted is set if requests are refused except for a few trials; otherwise they run one at a
	// time.
	Convicted bool `json:"convicted"`
	// Strikes are the crashes that count, Moments the separate moments of them, Late those over 3 s
	// after the costly ones, Cleared those that count no longer. Answered is when requests with the
	// key were answered: never, before or between the crashes.
	Strikes  int    `json:"strikes"`
	Moments  int    `json:"moments"`
	Late     int    `json:"late"`
	Cleared  int    `json:"cleared"`
	Answered string `json:"answered"`
	// LastCrashMs is the time since the last of the strikes, in ms.
	LastCrashMs int64 `json:"last_crash_ms"`
	// Trials are the requests that were let through. NextTrialMs is the time until one may be
	// again, in ms; -1 if none may.
	Trials      int   `json:"trials"`
	NextTrialMs int64 `json:"next_trial_ms"`
}

// ParseKey reads a key as [HeldKey] states it.
func ParseKey(text string) (Key, error) {
	key, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("key is %.64q, want up to 16 hexadecimal digits", text)
	}
	return Key(key), nil
}

// Held returns the convicted and quarantined keys, those with the most strikes first.
func (g *Guard) Held(now time.Time) []HeldKey {
	g.bound(now)
	g.judge(now)
	all := []HeldKey{}
	for key, e := range g.keys {
		if g.blocked(key) != nil {
			all = append(all, g.held(e, now))
		}
	}
	slices.SortFunc(all, func(a, b HeldKey) int {
		return cmp.Or(-cmp.Compare(a.Strikes, b.Strikes), cmp.Compare(a.Key, b.Key))
	})
	return all
}

func (g *Guard) held(e *entry, now time.Time) HeldKey {
	v := g.Evidence(e.key, now)
	h := HeldKey{
		Key: fmt.Sprintf("%016x", uint64(e.key)), Part: e.part, Convicted: g.IsConvicted(e.key), Strikes: v.Strikes, Moments: v.Moments, Late: v.Late,
		Cleared: e.cleared.size(), Answered: v.Answered, Trials: e.trials, NextTrialMs: -1,
	}
	var last time.Time
	e.live().each(func(slot int) { last = later(last, g.crashes[slot].at) })
	h.LastCrashMs = max(now.Sub(last), 0).Milliseconds()
	if at, ok := g.nextTrial(e); ok {
		h.NextTrialMs = max(at.Sub(now), 0).Milliseconds()
	}
	return h
}

// Pardon clears the crashes that count against a key. They no longer count against other keys
// either: without the key as their cause, parts that sound requests share would be convicted of
// them. It returns false if the key is not known or nothing counts against it.
func (g *Guard) Pardon(key Key, now time.Time) bool {
	e := g.keys[key]
	if e == nil {
		return false
	}
	pardoned := e.live()
	if pardoned.empty() {
		return false
	}
	for _, other := range g.keys {
		cleared := other.cleared
		pardoned.each(func(slot int) {
			if other.struck.has(slot) {
				other.cleared.add(slot)
			}
		})
		if other.cleared != cleared {
			other.clearedAt = now
		}
	}
	g.dirty = true
	return true
}
