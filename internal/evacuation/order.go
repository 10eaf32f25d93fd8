package evacuation

// Order is the state of one failure domain's evacuation.
type Order struct {
	Domain string
	// Revision is the table's revision at the change that led to this state.
	Revision uint64
	// Ended is set once the order has been taken back.
	Ended bool
}

// newer tells whether o supersedes known. A begin and an end of one revision are the
// same row's: the end came later.
func (o *Order) newer(known *Order) bool {
	if o.Revision != known.Revision {
		return o.Revision > known.Revision
	}
	return o.Ended && !known.Ended
}
