package suspect

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// voteRelease is the release of a vote that was not acknowledged yet.
type voteRelease struct {
	seq         uint64
	to          string
	attempt     string
	fingerprint request.Fingerprint
	expiresAt   time.Duration
	sentAt      time.Duration
	interval    time.Duration
}

// maxReleaseInterval bounds the growing interval between two messages of one release.
const maxReleaseInterval = 5 * time.Second

// releaseVotes releases the votes for an attempt that has ended.
func (t *Tracker) releaseVotes(attempt string, f request.Fingerprint, voters []string) {
	t.votes.Release(f, attempt, t.settings.Self)
	for _, id := range voters {
		t.voteReleases = append(t.voteReleases, &voteRelease{
			seq: t.nextSeq(), to: id, attempt: attempt, fingerprint: f,
			expiresAt: t.now + t.settings.MaxRun, sentAt: -1,
		})
	}
}

// sendVoteReleases sends the releases that were not acknowledged.
func (t *Tracker) sendVoteReleases() {
	t.voteReleases = slices.DeleteFunc(t.voteReleases, func(r *voteRelease) bool { return t.now > r.expiresAt })
	for _, r := range t.voteReleases {
		if r.sentAt >= 0 && t.now < r.sentAt+r.interval {
			continue
		}
		r.interval = min(max(2*r.interval, t.settings.ResendInterval), maxReleaseInterval)
		r.sentAt = t.now
		t.send(Message{To: r.to, Kind: VoteRelease, Seq: r.seq, Attempt: r.attempt, Fingerprint: r.fingerprint})
	}
}

func (t *Tracker) handleVoteReleaseAck(m Message) {
	t.voteReleases = slices.DeleteFunc(t.voteReleases, func(r *voteRelease) bool { return r.seq == m.Seq && r.to == m.From })
}
