package suspect

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// release is a vote that is being given back.
type release struct {
	seq         uint64
	to          string
	attempt     string
	fingerprint request.Fingerprint
	until       time.Duration
	sent        time.Duration
	gap         time.Duration
}

// maxReleaseGap bounds the growing gap between two messages of one release.
const maxReleaseGap = 5 * time.Second

// giveBack returns the votes for an attempt that has ended.
func (t *Tracker) giveBack(attempt string, f request.Fingerprint, voters []string) {
	t.holder.Release(f, attempt, t.settings.Self)
	for _, id := range voters {
		t.releases = append(t.releases, &release{
			seq: t.nextSeq(), to: id, attempt: attempt, fingerprint: f,
			until: t.now + t.settings.MaxRun, sent: -1,
		})
	}
}

// driveReleases sends those that were not acknowledged.
func (t *Tracker) driveReleases() {
	t.releases = slices.DeleteFunc(t.releases, func(r *release) bool { return t.now > r.until })
	for _, r := range t.releases {
		if r.sent >= 0 && t.now < r.sent+r.gap {
			continue
		}
		r.gap = min(max(2*r.gap, t.settings.Resend), maxReleaseGap)
		r.sent = t.now
		t.send(Message{To: r.to, Kind: Release, Seq: r.seq, Attempt: r.attempt, Fingerprint: r.fingerprint})
	}
}

func (t *Tracker) released(m Message) {
	t.releases = slices.DeleteFunc(t.releases, func(r *release) bool { return r.seq == m.Seq && r.to == m.From })
}
