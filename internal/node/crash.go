package node

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	crashProbeLimit = 500 * time.Millisecond
	crashProbeGap   = 30 * time.Millisecond
	crashProbes     = 4
)

// callEnded tells the suspects how a service call ended. A connection that
// broke off may mean that the call crashed its upstream; sent on to the next
// one, it would crash that too.
func (n *Node) callEnded(id string, vm platform.VM, epoch uint64, err error) {
	if err != nil && reachOf(err) == upstream.MaybeRun && n.hasCrashed(vm, epoch) {
		n.suspects.crashed(vm.ID, epoch)
		return
	}
	if err == nil {
		n.suspects.completed(id)
		return
	}
	n.suspects.finished(id)
}

// hasCrashed asks an upstream whose connection broke off: when it cannot be
// connected to, or answers as another run of its process, it has crashed. One
// that is frozen or cut off gives no answer and has not. A process that is just
// dying may still take a connection and reset it, so it is asked again.
func (n *Node) hasCrashed(vm platform.VM, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeLimit)
	defer cancel()
	for range crashProbes {
		if !pause(ctx, crashProbeGap) {
			return false
		}
		report, err := n.deps.Engines.Load(ctx, vm.Addr)
		switch {
		case err == nil:
			return epoch != 0 && report.Epoch != epoch
		case reachOf(err) == upstream.NotSent:
			return true
		case ctx.Err() != nil:
			return false
		}
	}
	return true
}

// pause waits, or says false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
