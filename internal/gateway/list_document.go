package gateway

import (
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// listDocument describes the list of upstreams that a node sends to peers.
type listDocument struct {
	sync.Mutex
	hash     uint64
	revision revision.Revision
	// at is when the list was encoded.
	at time.Time
}

// maxDocumentAge is how long a document of the same list keeps its revision. Peers that have
// fetched it serve others, which a newer document would end.
const maxDocumentAge = 5 * time.Second

// isCurrent reports whether the document may be sent as the list with a hash, known as of a
// revision. A peer that knows of a restore of the table takes no list from before it, though the
// same upstreams are listed.
func (d *listDocument) isCurrent(hash uint64, known revision.Revision, now time.Time) bool {
	if hash != d.hash || known.Era() != d.revision.Era() {
		return false
	}
	return known == d.revision || now.Sub(d.at) < maxDocumentAge
}
