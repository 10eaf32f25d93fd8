package scenario

import (
	"fmt"
	"strings"

	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/standin/engine"
)

// report is the counts of a load held against the upstreams' runs and the
// bills. Everything from Doubled on must be 0.
type report struct {
	Sent, Arrivals, Completed, NotRun, Unknown, GaveUp, Cuts int

	Doubled    int // non-repeatable calls that ran more than once
	Foreign    int // answers taken for whole that were foreign or partial
	Unbilled   int // completed without a bill
	Overbilled int // with more than one bill
	FalseNot   int // "not run" that ran, or was billed

	// codes counts the reasons of what did not complete.
	codes    map[string]int
	examples []string
	named    map[string]int // examples of each thing that is wrong
	notes    []string
}

// maxExamples is how many requests a report names for each thing that is wrong.
const maxExamples = 10

type requestKey struct{ org, key string }

// evidence is what upstreams and store say of each request.
type evidence struct {
	digests map[string]int
	keys    map[string]int // of service calls
	bills   map[requestKey]int
}

func newEvidence(runs []run, bills []ledger.Bill) evidence {
	e := evidence{digests: map[string]int{}, keys: map[string]int{}, bills: map[requestKey]int{}}
	for _, r := range runs {
		if r.Digest != "" {
			e.digests[r.Digest]++
		} else {
			e.keys[r.Key]++
		}
	}
	for _, b := range bills {
		e.bills[requestKey{b.Org, b.Key}]++
	}
	return e
}

func (e evidence) runs(o order) int {
	if o.chat() {
		return e.digests[engine.Digest(o.text)]
	}
	return e.keys[o.org+"."+o.key]
}

func newReport(records []record, e evidence) report {
	p := report{codes: map[string]int{}, named: map[string]int{}}
	for _, r := range records {
		p.add(r, e)
	}
	return p
}

func (p *report) add(r record, e evidence) {
	p.Sent++
	p.Arrivals += r.arrivals
	p.Cuts += r.cuts
	p.Foreign += len(r.faults)
	if r.cuts > 0 {
		p.notes = append(p.notes, fmt.Sprintf("cut: %s %s", r.order.key, r.last))
	}
	if len(r.faults) > 0 {
		p.example(r, "foreign", r.faults[0].Error())
	}
	bills, runs := e.bills[requestKey{r.order.org, r.order.key}], e.runs(r.order)
	if r.order.method == "POST" && runs > 1 {
		p.Doubled++
		p.example(r, "doubled", fmt.Sprintf("ran %d times", runs))
	}
	if bills > 1 {
		p.Overbilled++
		p.example(r, "overbilled", fmt.Sprintf("%d bills", bills))
	}
	p.outcome(r, bills, runs)
}

func (p *report) outcome(r record, bills, runs int) {
	if r.last.code != "" {
		p.codes[string(r.last.outcome)+"/"+r.last.code+": "+r.last.message]++
	}
	switch r.last.outcome {
	case completed:
		p.Completed++
		if bills == 0 {
			p.Unbilled++
			p.example(r, "unbilled", "no bill")
		}
	case notRun:
		p.NotRun++
		if r.clean && runs+bills > 0 {
			p.FalseNot++
			p.example(r, "falsely not run", fmt.Sprintf("ran %d times, %d bills", runs, bills))
		}
	case unknown:
		p.Unknown++
	default:
		p.GaveUp++
		p.example(r, "gave up", fmt.Sprintf("no answer after %d arrivals", r.arrivals))
	}
}

func (p *report) example(r record, wrong, what string) {
	p.named[wrong]++
	if p.named[wrong] <= maxExamples {
		head := fmt.Sprintf("%s: %s %s %s %s: %s: %s", wrong, r.order.org, r.order.key, r.order.model, r.order.path, what, r.last)
		p.examples = append(p.examples, head+strings.Join(r.history, "\n"))
	}
}

// wrong is how many requests break what must always hold.
func (p report) wrong() int {
	return p.Doubled + p.Foreign + p.Unbilled + p.Overbilled + p.FalseNot
}

func (p report) String() string {
	counts := fmt.Sprintf("sent=%d arrivals=%d completed=%d not_run=%d unknown=%d gave_up=%d cuts=%d "+
		"doubled=%d foreign=%d unbilled=%d overbilled=%d false_not_run=%d codes=%v",
		p.Sent, p.Arrivals, p.Completed, p.NotRun, p.Unknown, p.GaveUp, p.Cuts,
		p.Doubled, p.Foreign, p.Unbilled, p.Overbilled, p.FalseNot, p.codes)
	lines := append([]string{counts}, p.examples...)
	return strings.Join(append(lines, p.notes[:min(len(p.notes), maxExamples)]...), "\n") + "\n"
}

// report holds a load's records against runs and bills. Bills that are still
// on their way are waited for, as long as for anything.
func (c *cluster) report(records []record) (report, error) {
	var p report
	settle := func(c *cluster, _ []string) error {
		bills, err := c.bills()
		if err != nil {
			return err
		}
		runs, err := c.runs()
		if err != nil {
			return err
		}
		p = newReport(records, newEvidence(runs, bills))
		if p.Unbilled > 0 {
			return errUnbilled
		}
		return nil
	}
	err := await(c, settle, nil)
	if err == errUnbilled {
		err = nil // the report says so
	}
	return p, err
}
