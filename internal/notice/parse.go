package notice

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// mostLimit is the largest rate limit in requests a second that makes sense.
const mostLimit = 1e6

// mostRest bounds the rest that an upstream may ask for.
const mostRest = 10 * time.Minute

// ReadLeaving reads whether an upstream leaves from the text of a header field.
func (a *Answer) ReadLeaving(field, text string) {
	switch text {
	case "", "0", "false":
	case "1", "true":
		a.Leaving = true
	default:
		a.Unsound = append(a.Unsound, field)
	}
}

// ReadRest reads how long an upstream wants nothing from the text of a header field: seconds,
// with fractions, or a date, which counts from the answer's own where it has one.
func (a *Answer) ReadRest(field, text, date string) {
	if text == "" {
		return
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds < 0 {
			a.Unsound = append(a.Unsound, field)
			return
		}
		a.Rest = time.Duration(min(seconds, mostRest.Seconds()) * float64(time.Second))
		return
	}
	until, err := http.ParseTime(text)
	if err != nil {
		a.Unsound = append(a.Unsound, field)
		return
	}
	from, err := http.ParseTime(date)
	if err != nil {
		from = time.Now()
	}
	a.Rest = min(max(until.Sub(from), 0), mostRest)
}

// ReadLimit reads a rate limit from the text of a header field; none where that is empty.
func (a *Answer) ReadLimit(field, text string) {
	if text == "" {
		return
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > mostLimit {
		a.LimitUnsound = true
		a.Unsound = append(a.Unsound, field)
		return
	}
	a.Limit = Limit{Named: true, PerSecond: v}
	if v == 0 {
		a.Unsound = append(a.Unsound, field) // it takes nothing, for as long as it says so
	}
}
