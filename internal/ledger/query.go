package ledger

import "time"

// BillQuery asks for bills by the time of their keys.
type BillQuery struct {
	// Org is the organisation; empty means all.
	Org string
	// From and To bound the time, To excluded. They are widened to whole
	// buckets.
	From time.Time
	To   time.Time
	// Cursor is the Next of the page before.
	Cursor string
}

// BillPage is a part of the bills, each key once.
type BillPage struct {
	Bills []Bill
	// Next is the cursor of the next page; empty when this is the last.
	Next string
}
