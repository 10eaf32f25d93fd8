package sim

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Table writes one table of measurements.
type Table struct {
	Name string
	// About says what is compared.
	About string
	write func(w io.Writer, seeds []uint64) error
}

// Tables are all of them.
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

// WriteTable writes the table of that name.
func WriteTable(w io.Writer, name string, seeds []uint64) error {
	for _, t := range Tables() {
		if t.Name == name {
			return t.write(w, seeds)
		}
	}
	return eris.Errorf("there is no table %q", name)
}

// row writes the cells of one row.
func row(w io.Writer, cells ...string) {
	_, _ = fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
}

// head writes the first row and the line below it.
func head(w io.Writer, cells ...string) {
	row(w, cells...)
	lines := make([]string, len(cells))
	for i := range lines {
		lines[i] = "---"
	}
	row(w, lines...)
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

func percent(part, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", 100*float64(part)/float64(of))
}

// recoveryWindow is how long first tokens must be good on the mean.
const recoveryWindow = 10

// recovery is how long after the end of trouble the first tokens of heavy work
// are back below twice their mean of the half minute before, over a window of
// ten seconds; negative when they are not within the run.
func recovery(r *Result, before, after, until time.Duration) int {
	usual := meanOf(r.FirstBySecond[int(before.Seconds())-30 : int(before.Seconds())])
	end := int(after.Seconds())
	for s := end; s < int(until.Seconds())-recoveryWindow; s++ {
		if meanOf(r.FirstBySecond[s:s+recoveryWindow]) <= 2*usual {
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
