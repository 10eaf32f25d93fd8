package sim

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Table is one table of measurements.
type Table struct {
	Name string
	// About is a one-line description of the experiment.
	About string
	write func(w io.Writer, seeds []uint64) error
}

// Tables returns all tables.
func Tables() []Table {
	return []Table{
		{Name: "policies", About: "upstream choice at three loads", write: policiesTable},
		{Name: "polls", About: "load reports asked for", write: pollsTable},
		{Name: "gray", About: "one engine of 18 is 8 times as slow for two minutes, or one service of 4 50 times", write: grayTable},
		{Name: "domain", About: "all engines of a failure domain are lost for a minute", write: domainTable},
		{Name: "failing", About: "upstreams fail in several ways for two minutes", write: failingTable},
		{Name: "overload", About: "a minute of 1, 2 and 5 times the capacity", write: overloadTable},
		{Name: "fairness", About: "a large organisation sends ten times as much", write: fairnessTable},
		{Name: "storm", About: "all engines decline for ten seconds and everyone retries", write: stormTable},
		{Name: "large", About: "a tenth of the expected size, with subsets", write: largeTable},
	}
}

// WriteTable runs the experiment of the named table with the given seeds and writes the
// table in Markdown. It fails if no table has the name.
func WriteTable(w io.Writer, name string, seeds []uint64) error {
	for _, t := range Tables() {
		if t.Name == name {
			return t.write(w, seeds)
		}
	}
	return eris.Errorf("there is no table %q", name)
}

// writeRow writes a row of a Markdown table.
func writeRow(w io.Writer, cells ...string) {
	_, _ = fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
}

// writeHeader writes the header row and the separator of a Markdown table.
func writeHeader(w io.Writer, cells ...string) {
	writeRow(w, cells...)
	separators := make([]string, len(cells))
	for i := range separators {
		separators[i] = "---"
	}
	writeRow(w, separators...)
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

func percent(part, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", 100*float64(part)/float64(of))
}

// recoveryWindow is the length in seconds over which recoverySeconds averages first
// tokens.
const recoveryWindow = 10

// recoverySeconds returns the seconds from the end of a disturbance until first tokens
// of heavy requests have recovered. They have when their mean over recoveryWindow is at
// most twice that of the 30 seconds before the disturbance. It returns -1 if that does
// not happen within the run.
func recoverySeconds(r *Result, from, to, length time.Duration) int {
	baseline := meanOf(r.FirstTokenBySecond[int(from.Seconds())-30 : int(from.Seconds())])
	end := int(to.Seconds())
	for s := end; s < int(length.Seconds())-recoveryWindow; s++ {
		if meanOf(r.FirstTokenBySecond[s:s+recoveryWindow]) <= 2*baseline {
			return s - end
		}
	}
	return -1
}

func recoveryText(seconds int) string {
	if seconds < 0 {
		return "not"
	}
	return fmt.Sprint(seconds)
}

// meanOf returns the mean of the values that are not NaN, or 0 without any.
func meanOf(list []float64) float64 {
	var sum float64
	n := 0
	for _, v := range list {
		if !math.IsNaN(v) {
			sum += v
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
