package node

import "github.com/hickorybank/hickorybank/internal/lifecycle"

// runTotals sums up the cost and tokens of completed runs.
type runTotals struct {
	cost   int64 // micro-units of currency
	input  int64 // tokens
	output int64 // tokens
}

func (t *runTotals) add(r *chatRun, runs []lifecycle.Run) {
	for _, run := range runs {
		t.cost += r.cost(run)
		t.input += int64(run.Usage.InputTokens)
		t.output += int64(run.Usage.OutputTokens)
	}
}
