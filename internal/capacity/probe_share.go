package capacity

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
)

// shareProbes measure the exchange of quality summaries between nodes.
func shareProbes() []Probe {
	sizes := []int{1, 12, 48, 288}
	return []Probe{
		{
			Slope: Slope{Name: "share.report", What: "a node's report to a collector and the pool that comes back, over net/rpc, both ends", Per: "cells in each", Unit: Nanoseconds},
			Sizes: sizes, QuickSizes: []int{1, 12}, Measure: func(m Meter, n int) (float64, error) { return reportExchange(n).processor(m) },
		},
		{
			Slope: Slope{Name: "share.report.bytes", What: "a node's report to a collector and the pool that comes back", Per: "cells in each", Unit: Bytes},
			Sizes: sizes, QuickSizes: []int{1, 12}, Measure: func(_ Meter, n int) (float64, error) { return reportExchange(n).bytes() },
		},
	}
}

// shareReceiver answers like a collector that has summaries of two other nodes.
type shareReceiver struct{ chooser *choice.Chooser }

// Report merges a summary and returns the pool of all other nodes.
func (s shareReceiver) Report(r *choice.Report, pool *choice.Pool) error {
	*pool = s.chooser.HandleReport(*r, start.Add(time.Second))
	return nil
}

func reportExchange(cells int) exchange {
	collector := newChooser("entry-00000", cells)
	collector.Merge(newChooser("entry-00002", cells).Summary(), start)
	report := newChooser("entry-00001", cells).Report(versionsOf(cells))
	return exchange{
		name: "Choice", receiver: shareReceiver{collector}, method: "Report", args: &report,
		reply: func() any { return new(choice.Pool) },
	}
}

// versionsOf returns the names of the versions of the first cells.
func versionsOf(cells int) []string {
	var names []string
	for i := range min(cells, docVersions) {
		names = append(names, versionName(i))
	}
	return names
}
