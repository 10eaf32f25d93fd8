package ledger

import "time"

// BillQuery selects bills by time: the time in the key if it carries one, otherwise the
// time of completion. Each bill has one such time, also if it is stored late, so spans
// that do not overlap have no bill in common.
type BillQuery struct {
	// Org is the organisation; empty means all.
	Org string
	// From and To bound the time; To is exclusive.
	From time.Time
	To   time.Time
	// Cursor is the Next of the previous page; empty for the first page.
	Cursor string
}

// BillPage is a page of the result of a query, without duplicate bills.
type BillPage struct {
	Bills []Bill
	// Next is the cursor of the next page; empty if this is the last one.
	Next string
}

// Total is the sum of an organisation's bills in a span of time.
type Total struct {
	Org   string `json:"org"`
	Bills int64  `json:"bills"`
	// Cost is in micro-units of currency.
	Cost         int64 `json:"cost"`
	InputTokens  int64 `json:"input_tokens"`
	OutputTokens int64 `json:"output_tokens"`
}
