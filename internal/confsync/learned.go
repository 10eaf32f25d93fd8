package confsync

import "time"

// maxLearned is of how many revisions a node remembers when it heard of them.
const maxLearned = 64

// learning is when this node first knew that a revision is stored.
type learning struct {
	revision uint64
	at       time.Duration
}

// learn remembers the first instant at which a revision was known to be
// stored. That is the receipt of the news, not the start of the read, which
// may be earlier than the change.
func (k *knowledge) learn(revision uint64, now time.Duration) {
	for _, l := range k.learned {
		if l.revision == revision {
			return
		}
	}
	k.learned = append(k.learned, learning{revision: revision, at: now})
	if len(k.learned) > maxLearned {
		k.learned = k.learned[1:]
	}
}

// since is for how long this node has known that the revision, or a newer one,
// is stored.
func (k *knowledge) since(revision uint64, now time.Duration) time.Duration {
	var longest time.Duration
	for _, l := range k.learned {
		if l.revision >= revision {
			longest = max(longest, now-l.at)
		}
	}
	return longest
}
