package suspect

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Records returns what has to outlast a loss of all nodes: at most limit records, those with the most
// crashes first. Doubts about nodes are left out, as they end with the nodes.
func (t *Tracker) Records(limit int, now time.Time) []Record {
	t.setTime(now)
	var list []Record
	for _, r := range t.store.records(t.now) {
		r.Crashes, r.Cleared = withoutDoubts(r.Crashes), withoutDoubts(r.Cleared)
		if r.Counted() > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(-cmp.Compare(a.Counted(), b.Counted()), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return list[:min(len(list), limit)]
}

// Counted returns the number of crashes that the request is not cleared of.
func (r *Record) Counted() (count int) {
	for _, c := range r.Crashes {
		if !contains(r.Cleared, c) {
			count++
		}
	}
	return count
}

func withoutDoubts(list []CrashID) (kept []CrashID) {
	for _, c := range list {
		if !c.Doubt {
			kept = append(kept, c)
		}
	}
	return kept
}

// Pardon clears the request of its crashes, as if it had completed. It reports whether any counted.
func (t *Tracker) Pardon(f request.Fingerprint, now time.Time) bool {
	t.setTime(now)
	e := t.store.get(f)
	if !e.suspect() {
		return false
	}
	t.learn(Record{Fingerprint: f, Cleared: e.crashes, Left: e.expiresAt - t.now}, "")
	t.advance()
	return true
}

// Restore merges records that outlasted the nodes which made them. Those that are not valid have no
// effect.
func (t *Tracker) Restore(records []Record, now time.Time) {
	t.setTime(now)
	for _, r := range records {
		if len(r.Crashes) == 0 || len(r.Crashes) > maxCrashes || len(r.Cleared) > maxCrashes {
			continue
		}
		slices.SortFunc(r.Crashes, CrashID.compare)
		slices.SortFunc(r.Cleared, CrashID.compare)
		r.Left, r.Since = min(r.Left, t.settings.MaxConvictionTTL), max(r.Since, 0)
		t.learn(r, "")
	}
	t.advance()
}
