package confsync

import "time"

// maxLearned is the maximum number of revisions for which a node remembers when it learned of
// them.
const maxLearned = 64

// learnedRevision is a revision and the time at which this node learned that it is stored.
type learnedRevision struct {
	revision uint64
	at       time.Duration
}

// learn records the first instant at which a revision was known to be stored. This is the
// receipt of the response, not the start of the read, which may be earlier than the change.
func (k *proofState) learn(revision uint64, now time.Duration) {
	for _, l := range k.learned {
		if l.revision == revision {
			return
		}
	}
	k.learned = append(k.learned, learnedRevision{revision: revision, at: now})
	if len(k.learned) > maxLearned {
		k.learned = k.learned[1:]
	}
}

// since returns how long this node has known that the revision, or a newer one, is stored.
func (k *proofState) since(revision uint64, now time.Duration) time.Duration {
	var longest time.Duration
	for _, l := range k.learned {
		if l.revision >= revision {
			longest = max(longest, now-l.at)
		}
	}
	return longest
}
