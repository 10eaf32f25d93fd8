package ledger

import "time"

// BillQuery asks for bills by their time: that of the key where it carries
// one, else of the completion. So spans that do not overlap have no bill in
// common, and a bill that comes late does not move.
type BillQuery struct {
	// Org is the organisation; empty means all.
	Org string
	// From and To bound the time, To excluded.
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

// Total is what an organisation has to pay for a span of time.
type Total struct {
	Org   string `json:"org"`
	Bills int64  `json:"bills"`
	// Cost is in micro-units of currency.
	Cost         int64 `json:"cost"`
	InputTokens  int64 `json:"input_tokens"`
	OutputTokens int64 `json:"output_tokens"`
}
