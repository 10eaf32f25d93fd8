package scenario

import (
	"fmt"
	"strings"

	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/standin/engine"
)

// report compares the requests of a load with the upstreams' runs and the bills. Every count
// from Doubled on must be 0.
type report struct {
	Sent, Arrivals, Completed, NotRun, Unknown, GaveUp, Cuts int

	Doubled     int // non-idempotent calls that ran more than once
	Foreign     int // answers that ended as complete but were partial or belonged to another request
	Unbilled    int // completed requests without a bill
	Overbilled  int // requests with more than one bill
	FalseNotRun int // requests refused as not run that ran or were billed

	// codes counts the error codes of requests that did not complete.
	codes         map[string]int
	examples      []string
	exampleCounts map[string]int // number of examples by violation
	notes         []string
}

// maxExamples is the number of requests that a report lists for each violation.
const maxExamples = 10

type requestKey struct{ org, key string }

// evidence counts the runs at the upstreams and the bills in the store by request.
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

func (e evidence) runs(o call) int {
	if o.chat() {
		return e.digests[engine.Digest(o.text)]
	}
	return e.keys[o.org+"."+o.key]
}

func newReport(records []record, e evidence) report {
	p := report{codes: map[string]int{}, exampleCounts: map[string]int{}}
	for _, r := range records {
		p.add(r, e)
	}
	return p
}

func (p *report) add(r record, e evidence) {
	p.Sent++
	p.Arrivals += r.arrivals
	p.Cuts += r.cuts
	p.Foreign += len(r.answerErrs)
	if r.cuts > 0 {
		p.notes = append(p.notes, fmt.Sprintf("cut: %s %s", r.call.key, r.last))
	}
	if len(r.answerErrs) > 0 {
		p.addExample(r, "foreign", r.answerErrs[0].Error())
	}
	bills, runs := e.bills[requestKey{r.call.org, r.call.key}], e.runs(r.call)
	if r.call.method == "POST" && runs > 1 {
		p.Doubled++
		p.addExample(r, "doubled", fmt.Sprintf("ran %d times", runs))
	}
	if bills > 1 {
		p.Overbilled++
		p.addExample(r, "overbilled", fmt.Sprintf("%d bills", bills))
	}
	p.addOutcome(r, bills, runs)
}

func (p *report) addOutcome(r record, bills, runs int) {
	if r.last.code != "" {
		p.codes[string(r.last.outcome)+"/"+r.last.code+": "+r.last.message]++
	}
	switch r.last.outcome {
	case completed:
		p.Completed++
		if bills == 0 {
			p.Unbilled++
			p.addExample(r, "unbilled", "no bill")
		}
	case notRun:
		p.NotRun++
		if r.neverReached && runs+bills > 0 {
			p.FalseNotRun++
			p.addExample(r, "falsely not run", fmt.Sprintf("ran %d times, %d bills", runs, bills))
		}
	case unknown:
		p.Unknown++
	default:
		p.GaveUp++
		p.addExample(r, "gave up", fmt.Sprintf("no answer after %d arrivals", r.arrivals))
	}
}

func (p *report) addExample(r record, violation, detail string) {
	p.exampleCounts[violation]++
	if p.exampleCounts[violation] <= maxExamples {
		head := fmt.Sprintf("%s: %s %s %s %s: %s: %s", violation, r.call.org, r.call.key, r.call.model, r.call.path, detail, r.last)
		p.examples = append(p.examples, head+strings.Join(r.history, "\n"))
	}
}

// violations returns the number of broken guarantees.
func (p report) violations() int {
	return p.Doubled + p.Foreign + p.Unbilled + p.Overbilled + p.FalseNotRun
}

func (p report) String() string {
	counts := fmt.Sprintf("sent=%d arrivals=%d completed=%d not_run=%d unknown=%d gave_up=%d cuts=%d "+
		"doubled=%d foreign=%d unbilled=%d overbilled=%d false_not_run=%d codes=%v",
		p.Sent, p.Arrivals, p.Completed, p.NotRun, p.Unknown, p.GaveUp, p.Cuts,
		p.Doubled, p.Foreign, p.Unbilled, p.Overbilled, p.FalseNotRun, p.codes)
	lines := append([]string{counts}, p.examples...)
	return strings.Join(append(lines, p.notes[:min(len(p.notes), maxExamples)]...), "\n") + "\n"
}

// report compares a load's records with runs and bills. It waits up to maxWait for
// missing bills.
func (c *cluster) report(records []record) (report, error) {
	var p report
	check := func(c *cluster, _ []string) error {
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
	err := await(c, check, nil)
	if err == errUnbilled {
		err = nil // the report lists the unbilled requests
	}
	return p, err
}
