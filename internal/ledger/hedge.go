package ledger

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// answer is what one node said.
type answer[T any] struct {
	from  platform.VM
	value T
	// err is peer.ErrNotSent, or anything else that leaves it open whether
	// the node acted.
	err error
}

// hedge asks one node after the other: the next one when the one before has
// failed, was not final, or has not answered in time. All that is asked this
// way may be done twice. A call that is overtaken goes on to its own end:
// ending it would cut the connection, with the other calls on it.
type hedge[T any] struct {
	after time.Duration
	route *route
	calls *conc.WaitGroup
	ask   func(vm platform.VM) (T, error)
	// final says whether an answer needs no second opinion.
	final func(T) bool
}

// run returns the answers up to the first final one, which is the last then.
// Open is how many nodes were asked and have not answered.
func (h hedge[T]) run(ctx context.Context, nodes []platform.VM) (answers []answer[T], open int) {
	results := make(chan answer[T], len(nodes))
	timer := time.NewTimer(0)
	defer timer.Stop()
	asked := 0
	for {
		select {
		case <-ctx.Done():
			return answers, open
		case a := <-results:
			open--
			answers = append(answers, a)
			if a.err == nil && h.final(a.value) {
				return answers, open
			}
			timer.Reset(0)
		case <-timer.C:
			if open > 0 {
				h.route.silent(nodes[asked-1])
			}
			if asked < len(nodes) {
				h.start(nodes[asked], results)
				asked, open = asked+1, open+1
				timer.Reset(h.after)
			}
		}
		if open == 0 && asked == len(nodes) {
			return answers, 0
		}
	}
}

func (h hedge[T]) start(vm platform.VM, results chan<- answer[T]) {
	h.calls.Go(func() {
		value, err := h.ask(vm)
		if err == nil {
			h.route.answered(vm)
		} else {
			h.route.silent(vm)
		}
		results <- answer[T]{vm, value, err} // has room for each node's one
	})
}
