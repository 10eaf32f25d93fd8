package suspect

import (
	"bytes"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// VoteTable holds this node's votes. A run needs the vote of every node that is asked,
// and a node votes for one run at a time per suspect and per upstream. So no two runs of
// one suspect are permitted together, and no two suspects on one upstream.
type VoteTable struct {
	maxRun time.Duration
	votes  map[request.Fingerprint]Vote
}

// Vote is a run that this node has permitted.
type Vote struct {
	Fingerprint request.Fingerprint
	Attempt     string
	// Lane is the upstream reserved for the run. Empty means any upstream, and conflicts
	// with every lane.
	Lane string
	// From and Born are the node that runs it, and that node's run.
	From string
	Born uint64
	// ExpiresAt is when the run counts as lost, since the tracker's base.
	ExpiresAt time.Duration
}

// conflicts reports whether the two runs must not overlap. Two suspects on one upstream
// would both be convicted by its crash.
func (v Vote) conflicts(o Vote) bool {
	if v.Attempt == o.Attempt && v.From == o.From {
		return false
	}
	return v.Fingerprint == o.Fingerprint || v.Lane == o.Lane || v.Lane == "" || o.Lane == ""
}

// NewVoteTable returns a table without votes; each vote counts for maxRun.
func NewVoteTable(maxRun time.Duration) *VoteTable {
	return &VoteTable{maxRun: maxRun, votes: map[request.Fingerprint]Vote{}}
}

// Grant votes for the run, and reports false if another run with a vote conflicts with
// it.
func (t *VoteTable) Grant(v Vote, now time.Duration) bool {
	for _, held := range t.votes {
		if held.conflicts(v) {
			return false
		}
	}
	v.ExpiresAt = now + t.maxRun
	t.votes[v.Fingerprint] = v
	return true
}

// Release removes the run's vote.
func (t *VoteTable) Release(f request.Fingerprint, attempt, from string) {
	if held, ok := t.votes[f]; ok && held.Attempt == attempt && held.From == from {
		delete(t.votes, f)
	}
}

// TakeExpired removes and returns the votes for runs that have not ended in time.
func (t *VoteTable) TakeExpired(now time.Duration) []Vote {
	var out []Vote
	for f, v := range t.votes {
		if now >= v.ExpiresAt {
			out = append(out, v)
			delete(t.votes, f)
		}
	}
	slices.SortFunc(out, func(a, b Vote) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}
