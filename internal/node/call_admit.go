package node

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/request"
)

// admitSuspect returns a refusal if the call may not run because it crashes upstreams, or may
// do so.
func (r *callRun) admitSuspect(ctx context.Context, vm string) *request.Failure {
	if fail := r.node.suspects.admit(ctx, r.id, r.fingerprint(), vm); fail != nil {
		return fail
	}
	return r.node.suspects.mayStart(r.id, r.fingerprint(), vm)
}
