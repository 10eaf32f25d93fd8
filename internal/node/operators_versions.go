package node

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/admin"
)

// Rollouts lists the stage of each version's rollout.
func (o *operators) Rollouts(ctx context.Context) ([]admin.Rollout, error) {
	list, err := o.node.rollouts.Rollouts(ctx)
	out := make([]admin.Rollout, 0, len(list))
	for _, s := range list {
		out = append(out, admin.Rollout{
			Version: s.Version, Stage: string(s.Stage), Share: s.Share, Holder: s.Holder, Since: s.Since, Detail: s.Detail,
		})
	}
	return out, err
}

// Holds lists the holds that were placed on versions because of bad results.
func (o *operators) Holds(ctx context.Context) ([]admin.Hold, error) {
	list, err := o.node.share.Holds(ctx)
	out := make([]admin.Hold, 0, len(list))
	for _, h := range list {
		out = append(out, admin.Hold{
			Version: h.Version, Term: h.Term, Lifted: h.Lifted, Reason: string(h.Reason), Class: h.Class, Node: h.Node, At: h.At,
		})
	}
	return out, err
}

// Lift ends one term of a version's hold. It returns false when there is no such term or a later
// one. After an error that wraps [platform.ErrUnknown] the term may have ended.
func (o *operators) Lift(ctx context.Context, version string, term uint64) (bool, error) {
	return o.node.share.Lift(ctx, version, term)
}
