package suspect

import (
	"bytes"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Holder keeps this node's votes: for each suspect at most one run is voted
// for at a time. A run needs the vote of every node that is asked, so that no
// two runs of one suspect are permitted together, and no two suspects on one upstream.
type Holder struct {
	maxRun time.Duration
	votes  map[request.Fingerprint]Vote
}

// Vote is a run that this node has agreed to.
type Vote struct {
	Fingerprint request.Fingerprint
	Attempt     string
	// Lane is the upstream that the run is to have for itself; empty may be
	// any, and is at odds with every other lane.
	Lane string
	// From and Born are the node that runs it, and its run.
	From string
	Born uint64
	// Until is when it counts as lost, since the holder's base.
	Until time.Duration
}

// conflicts says whether the two runs must not be at one time. Two suspects on
// one upstream would both be convicted by its crash.
func (v Vote) conflicts(o Vote) bool {
	if v.Attempt == o.Attempt && v.From == o.From {
		return false
	}
	return v.Fingerprint == o.Fingerprint || v.Lane == o.Lane || v.Lane == "" || o.Lane == ""
}

// NewHolder returns a holder without votes, which count for maxRun.
func NewHolder(maxRun time.Duration) *Holder {
	return &Holder{maxRun: maxRun, votes: map[request.Fingerprint]Vote{}}
}

// Ask votes for the run unless another one of the same suspect, or on the same
// lane, has the vote.
func (h *Holder) Ask(v Vote, now time.Duration) bool {
	for _, held := range h.votes {
		if held.conflicts(v) {
			return false
		}
	}
	v.Until = now + h.maxRun
	h.votes[v.Fingerprint] = v
	return true
}

// Release gives the run's vote back.
func (h *Holder) Release(f request.Fingerprint, attempt, from string) {
	if held, ok := h.votes[f]; ok && held.Attempt == attempt && held.From == from {
		delete(h.votes, f)
	}
}

// Expired takes out the votes of runs of which nobody has told the end.
func (h *Holder) Expired(now time.Duration) []Vote {
	var out []Vote
	for f, v := range h.votes {
		if now >= v.Until {
			out = append(out, v)
			delete(h.votes, f)
		}
	}
	slices.SortFunc(out, func(a, b Vote) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}
