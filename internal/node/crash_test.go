package node

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// unreachableEngines fails to connect with an error; a nil one gives no answer.
type unreachableEngines struct {
	upstream.Engines
	err error
}

// Load implements upstream.Engines.
func (e unreachableEngines) Load(ctx context.Context, addr string) (upstream.LoadReport, error) {
	err := e.err
	if err == nil {
		<-ctx.Done()
		err = os.ErrDeadlineExceeded
	}
	return upstream.LoadReport{}, &upstream.Error{Reach: upstream.NotSent, Addr: addr, Err: &net.OpError{Op: "dial", Err: err}}
}

// Fails if an upstream that is out of reach counts as crashed: its requests would be suspected of
// crashing upstreams.
func TestUnreachableUpstreamHasNotCrashed(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		crashed bool
	}{
		{"refused", &os.SyscallError{Syscall: "connect", Err: syscall.ECONNREFUSED}, true},
		{"no route", &os.SyscallError{Syscall: "connect", Err: syscall.EHOSTUNREACH}, false},
		{"no answer", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &Node{deps: Deps{Engines: unreachableEngines{err: c.err}}}
				is.Equal(n.hasCrashed(platform.VM{ID: "eng1", Addr: "10.0.0.1:1"}, 1), c.crashed)
				ctx, cancel := context.WithTimeout(t.Context(), crashProbeTimeout)
				defer cancel()
				_, err := n.deps.Engines.Load(ctx, "10.0.0.1:1")
				is.Equal(isRefused(err), c.crashed)
			})
		})
	}
}
