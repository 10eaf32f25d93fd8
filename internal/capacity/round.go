package capacity

import (
	"strconv"
)

// digits are those that measured values keep. The page shows just these, so
// that the model gives the same figures from the page as from the run.
const digits = 4

func rounded(v float64) float64 {
	r, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', digits, 64), 64)
	if err != nil {
		panic(err) // what was formatted can be parsed
	}
	return r
}
