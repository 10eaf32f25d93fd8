package admin

import (
	"net/http"
	"time"
)

const (
	// defaultBillSpan is how far back bills are read when no time is given.
	defaultBillSpan = 24 * time.Hour
	// maxBillSpan bounds one reading. Bills lie by the hour, and each hour
	// costs the platform some reads, also one without any bill: a reading of
	// months would take the reads that requests need.
	maxBillSpan = 7 * 24 * time.Hour
)

const dateOnly = "2006-01-02"

func (s *Server) getBills(in *incoming) (any, *Failure) {
	if s.deps.Bills == nil {
		return nil, notOffered("bills")
	}
	query, failure := s.billQuery(in.r)
	if failure != nil {
		return nil, failure
	}
	ctx, cancel := timeLimit(in)
	defer cancel()
	page, err := s.deps.Bills.Bills(ctx, query)
	if err != nil {
		return nil, storeFailure(err, "")
	}
	if page.Bills == nil {
		page.Bills = []Bill{}
	}
	return page, nil
}

func (s *Server) billQuery(r *http.Request) (BillQuery, *Failure) {
	values := r.URL.Query()
	q := BillQuery{Organisation: values.Get("organisation"), Cursor: values.Get("cursor")}
	var failure *Failure
	if q.To, failure = timeQuery("to", values.Get("to"), s.deps.Now()); failure != nil {
		return q, failure
	}
	if q.From, failure = timeQuery("from", values.Get("from"), q.To.Add(-defaultBillSpan)); failure != nil {
		return q, failure
	}
	if !q.From.Before(q.To) {
		return q, badRequest("from: must be before to")
	}
	if q.To.Sub(q.From) > maxBillSpan {
		return q, badRequest("from: at most %d days before to", int(maxBillSpan.Hours()/24))
	}
	return q, nil
}

// timeQuery reads a time in RFC 3339 or a date in UTC.
func timeQuery(name, text string, absent time.Time) (time.Time, *Failure) {
	if text == "" {
		return absent, nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t, nil
	}
	if t, err := time.Parse(dateOnly, text); err == nil {
		return t, nil
	}
	return absent, badRequest("%s: %q is neither a date nor a time such as 2026-03-01T06:00:00Z", name, text)
}
