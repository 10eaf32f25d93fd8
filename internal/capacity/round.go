package capacity

import (
	"strconv"
)

// significantDigits is the precision of measured values. The page shows exactly these digits,
// so the model gives the same figures from the page as from the run.
const significantDigits = 4

func roundToDigits(v float64) float64 {
	r, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', significantDigits, 64), 64)
	if err != nil {
		panic(err) // a formatted number always parses
	}
	return r
}
