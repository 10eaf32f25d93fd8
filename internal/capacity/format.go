package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// number shows a measured value in full: Parse reads it back.
func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// short shows a derived value with three digits and no exponent.
func short(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	decimals := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', min(decimals, 4), 64)
}

// amount is a number of bytes in the unit that fits.
func amount(bytes float64) string {
	switch {
	case bytes >= megabyte:
		return short(bytes/megabyte) + " MB"
	case bytes >= kilobyte:
		return short(bytes/kilobyte) + " kB"
	default:
		return short(bytes) + " B"
	}
}

// cores is a share of a core in percent.
func cores(share float64) string { return short(100*share) + " %" }

// row is one line of a Markdown table.
func row(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |\n" }

// head is the head of a Markdown table.
func head(cells ...string) string {
	return row(cells...) + "|" + strings.Repeat(" --- |", len(cells)) + "\n"
}

func section(b *strings.Builder, title string) { fmt.Fprintf(b, "\n### %s\n\n", title) }
