package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// formatExact formats a measured value in full, for Parse to read back.
func formatExact(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// formatShort formats a derived value with three digits and no exponent.
func formatShort(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	decimals := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', min(decimals, 4), 64)
}

// formatBytes formats a number of bytes in B, kB or MB.
func formatBytes(bytes float64) string {
	switch {
	case bytes >= megabyte:
		return formatShort(bytes/megabyte) + " MB"
	case bytes >= kilobyte:
		return formatShort(bytes/kilobyte) + " kB"
	default:
		return formatShort(bytes) + " B"
	}
}

// formatPercent formats a fraction as a percentage.
func formatPercent(share float64) string { return formatShort(100*share) + " %" }

// tableRow returns one row of a Markdown table.
func tableRow(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |\n" }

// tableHead returns the header rows of a Markdown table.
func tableHead(cells ...string) string {
	return tableRow(cells...) + "|" + strings.Repeat(" --- |", len(cells)) + "\n"
}

func section(b *strings.Builder, title string) { fmt.Fprintf(b, "\n### %s\n\n", title) }
