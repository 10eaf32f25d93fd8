package node

import "github.com/hickorybank/hickorybank/internal/lifecycle"

// spent is what completed runs cost.
type spent struct {
	cost   int64 // micro-units of currency
	input  int64 // tokens
	output int64 // tokens
}

func (s *spent) add(r *chatRun, runs []lifecycle.Run) {
	for _, run := range runs {
		s.cost += r.cost(run)
		s.input += int64(run.Usage.InputTokens)
		s.output += int64(run.Usage.OutputTokens)
	}
}
