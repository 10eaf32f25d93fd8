package notice

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// maxLimit is the largest valid rate limit in requests per second.
const maxLimit = 1e6

// maxBackoff caps the back-off that an upstream can request.
const maxBackoff = 10 * time.Minute

// ParseLeaving parses the value of the header field that announces a shutdown.
func (response *Response) ParseLeaving(field, text string) {
	switch text {
	case "", "0", "false":
	case "1", "true":
		response.Leaving = true
	default:
		response.InvalidFields = append(response.InvalidFields, field)
	}
}

// ParseBackoff parses the value of the header field that requests a back-off: seconds with
// an optional fraction, or an HTTP date. A date is relative to the response's own date, or
// to the local clock if the response has none.
func (response *Response) ParseBackoff(field, text, date string) {
	if text == "" {
		return
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds < 0 {
			response.InvalidFields = append(response.InvalidFields, field)
			return
		}
		response.Backoff = time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
		return
	}
	until, err := http.ParseTime(text)
	if err != nil {
		response.InvalidFields = append(response.InvalidFields, field)
		return
	}
	from, err := http.ParseTime(date)
	if err != nil {
		from = time.Now()
	}
	response.Backoff = min(max(until.Sub(from), 0), maxBackoff)
}

// ParseMaxRejections parses the value of the header field that bounds the rejections of an
// upstream.
func (response *Response) ParseMaxRejections(field, text string) {
	if text == "" {
		return
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > maxLimit {
		response.LimitInvalid = true
		response.InvalidFields = append(response.InvalidFields, field)
		return
	}
	response.Limit.MaxRejections = max(int(v), 1)
}

// ParseLimit parses the value of the header field that advertises a rate limit. An empty
// value means no limit.
func (response *Response) ParseLimit(field, text string) {
	if text == "" {
		return
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > maxLimit {
		response.LimitInvalid = true
		response.InvalidFields = append(response.InvalidFields, field)
		return
	}
	response.Limit.Named, response.Limit.PerSecond = true, v
	if v == 0 {
		response.InvalidFields = append(response.InvalidFields, field) // the upstream accepts no requests while it advertises 0
	}
}
