package evacuation

import "github.com/hickorybank/hickorybank/internal/revision"

// Order is the state of one failure domain's evacuation.
type Order struct {
	// Domain is the name of the failure domain.
	Domain string
	// Revision is the table's revision of the change that led to this state.
	Revision revision.Revision
	// Ended is set once the order has been withdrawn.
	Ended bool
}

// supersedes reports whether o replaces known. A begin and an end with equal revisions
// belong to the same row, which was deleted after it was written: the end wins.
func (o *Order) supersedes(known *Order) bool {
	if o.Revision != known.Revision {
		return o.Revision > known.Revision
	}
	return o.Ended && !known.Ended
}
