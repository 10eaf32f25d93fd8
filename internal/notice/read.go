package notice

import (
	"math"
	"strconv"
)

// mostLimit is the largest rate limit in requests a second that makes sense.
const mostLimit = 1e6

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
