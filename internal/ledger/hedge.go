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

// life says whether a node lives.
type life struct {
	vm    platform.VM
	alive bool
}

// hedge asks one node after the other: the next one when the one before has
// failed, was not final, or does not show that it lives. All that is asked
// this way may be done twice. A call that is overtaken goes on to its own end:
// ending it would cut the connection, with the other calls on it.
type hedge[T any] struct {
	route *route
	calls *conc.WaitGroup
	// after is how long a node may take before it is asked whether it lives.
	after time.Duration
	ask   func(vm platform.VM) (T, error)
	// alive asks a node whether it lives. One that does is waited for on: it
	// is the table that is slow, and a second node would only compete.
	alive func(vm platform.VM) bool
	// final says whether an answer needs no second opinion.
	final func(T) bool
}

// run returns the answers up to the first final one, which is the last then.
// Open is how many nodes were asked and have not answered.
func (h hedge[T]) run(ctx context.Context, nodes []platform.VM) (answers []answer[T], open int) {
	results := make(chan answer[T], len(nodes))
	lives := make(chan life, 1)
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
			asked, open = h.next(nodes, asked, open, results, timer)
		case l := <-lives:
			if l.alive {
				timer.Reset(h.after)
				break
			}
			h.route.silent(l.vm)
			asked, open = h.next(nodes, asked, open, results, timer)
		case <-timer.C:
			if open > 0 {
				h.probe(nodes[asked-1], lives)
				break
			}
			asked, open = h.next(nodes, asked, open, results, timer)
		}
		if open == 0 && asked == len(nodes) {
			return answers, 0
		}
	}
}

// next asks the next node, if there is one.
func (h hedge[T]) next(nodes []platform.VM, asked, open int, results chan<- answer[T], timer *time.Timer) (int, int) {
	if asked == len(nodes) {
		return asked, open
	}
	h.start(nodes[asked], results)
	timer.Reset(h.after)
	return asked + 1, open + 1
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

// probe asks the node that was asked last whether it lives. An answer that
// comes when another waits already, or nobody listens any more, is left out.
func (h hedge[T]) probe(vm platform.VM, lives chan<- life) {
	h.calls.Go(func() {
		l := life{vm, h.alive(vm)}
		select {
		case lives <- l:
		default:
		}
	})
}
