package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	crashProbeTimeout  = 500 * time.Millisecond
	crashProbeInterval = 30 * time.Millisecond
	maxCrashProbes     = 4
)

// serviceCallEnded reports the end of a service call to the suspects. A broken connection may mean
// that the call crashed its upstream; retried at the next one, it would crash that too.
func (n *Node) serviceCallEnded(id string, vm platform.VM, epoch uint64, err error) {
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

// hasCrashed probes an upstream whose connection broke. The upstream has crashed if it refuses
// connections or answers with another process epoch. One that gives no answer is frozen or cut
// off and has not crashed. A process that is terminating may still accept a connection and
// reset it, so the probe is repeated.
func (n *Node) hasCrashed(vm platform.VM, epoch uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	for range maxCrashProbes {
		if !pause(ctx, crashProbeInterval) {
			return false
		}
		report, err := n.deps.Engines.Load(ctx, vm.Addr)
		switch {
		case err == nil:
			return epoch != 0 && report.Epoch != epoch
		case isRefused(err):
			return true
		case ctx.Err() != nil || reachOf(err) == upstream.NotSent:
			return false
		}
	}
	return true
}

// isRefused reports whether a call failed because nothing listens at the upstream's address, as
// opposed to one that is out of reach.
func isRefused(err error) bool {
	return reachOf(err) == upstream.NotSent && errors.Is(err, syscall.ECONNREFUSED)
}

// pause waits for d; it returns false if ctx ends first.
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
