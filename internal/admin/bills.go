package admin

import (
	"net/http"
	"time"
)

const (
	// defaultBillSpan is the span of a query without a start.
	defaultBillSpan = 24 * time.Hour
	// maxBillSpan is the longest span of a query. Bills are stored by the hour, and each hour costs
	// some reads of the platform's table even without bills. A query over months would use up the
	// read capacity that requests need.
	maxBillSpan = 7 * 24 * time.Hour
)

const dateOnly = "2006-01-02"

func (s *Server) getBills(in *request) (any, *Failure) {
	if s.deps.Bills == nil {
		return nil, notOffered("bills")
	}
	query, failure := s.billQuery(in.r)
	if failure != nil {
		return nil, failure
	}
	ctx, cancel := withRequestTimeout(in)
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

// timeQuery parses a time in RFC 3339 or a date in UTC. An empty text gives the fallback.
func timeQuery(name, text string, fallback time.Time) (time.Time, *Failure) {
	if text == "" {
		return fallback, nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t, nil
	}
	if t, err := time.Parse(dateOnly, text); err == nil {
		return t, nil
	}
	return fallback, badRequest("%s: %q is neither a date nor a time such as 2026-03-01T06:00:00Z", name, text)
}
