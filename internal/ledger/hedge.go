package ledger

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// answer is the result of a call to one node.
type answer[T any] struct {
	from  platform.VM
	value T
	// err is peer.ErrNotSent if the node cannot have acted. After any other error, it
	// may have acted.
	err error
}

// probeResult is whether a node is alive.
type probeResult struct {
	vm    platform.VM
	alive bool
}

// hedge makes a hedged call to several nodes in order. It calls the next node when a call
// has failed, when its answer is not final, or when the node does not answer a probe. The
// operation must be idempotent, as several nodes may perform it. Calls that are no longer
// needed are not cancelled: that would close the connection, with other calls on it.
type hedge[T any] struct {
	router *router
	calls  *conc.WaitGroup
	// after is how long a node may take before it is probed.
	after time.Duration
	call  func(vm platform.VM) (T, error)
	// alive probes a node. While a node is alive, its answer is awaited: then the
	// table is slow, and a second node would only add load.
	alive func(vm platform.VM) bool
	// isFinal reports whether no further node needs to be called after an answer.
	isFinal func(T) bool
}

// run returns the answers up to and including the first final one. Open is the number of
// nodes that were called and have not answered.
func (h hedge[T]) run(ctx context.Context, nodes []platform.VM) (answers []answer[T], open int) {
	results := make(chan answer[T], len(nodes))
	probes := make(chan probeResult, 1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	called := 0
	for {
		select {
		case <-ctx.Done():
			return answers, open
		case a := <-results:
			open--
			answers = append(answers, a)
			if a.err == nil && h.isFinal(a.value) {
				return answers, open
			}
			called, open = h.next(nodes, called, open, results, timer)
		case result := <-probes:
			if result.alive {
				timer.Reset(h.after)
				break
			}
			h.router.markSuspect(result.vm)
			called, open = h.next(nodes, called, open, results, timer)
		case <-timer.C:
			if open > 0 {
				h.probe(nodes[called-1], probes)
				break
			}
			called, open = h.next(nodes, called, open, results, timer)
		}
		if open == 0 && called == len(nodes) {
			return answers, 0
		}
	}
}

// next calls the next node, if there is one.
func (h hedge[T]) next(nodes []platform.VM, called, open int, results chan<- answer[T], timer *time.Timer) (int, int) {
	if called == len(nodes) {
		return called, open
	}
	h.start(nodes[called], results)
	timer.Reset(h.after)
	return called + 1, open + 1
}

func (h hedge[T]) start(vm platform.VM, results chan<- answer[T]) {
	h.calls.Go(func() {
		value, err := h.call(vm)
		if err == nil {
			h.router.clearSuspect(vm)
		} else {
			h.router.markSuspect(vm)
		}
		results <- answer[T]{vm, value, err} // the channel has room for one answer per node
	})
}

// probe probes a node. Its result is dropped if another one is still unread or run has
// returned.
func (h hedge[T]) probe(vm platform.VM, probes chan<- probeResult) {
	h.calls.Go(func() {
		result := probeResult{vm, h.alive(vm)}
		select {
		case probes <- result:
		default:
		}
	})
}
