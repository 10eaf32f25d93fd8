package node

import (
	"context"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// entryIDs returns the sorted IDs of all entry nodes. It returns none while self is not among
// them: this node has just started, and the others do not know it yet.
func entryIDs(v *membership.View, self string) []string {
	var ids []string
	for _, vm := range v.EntryVMs() {
		if vm.Role == platform.RoleEntry {
			ids = append(ids, vm.ID)
		}
	}
	if !slices.Contains(ids, self) {
		return nil
	}
	slices.Sort(ids)
	return ids
}

// withNotices returns a context whose calls report the notices in the upstream's responses.
func (u *upstreams) withNotices(ctx context.Context, vm platform.VM) context.Context {
	return upstream.WithNoticeHandler(ctx, func(response notice.Response, at time.Time) { u.applyNotice(vm, response, at) })
}

// applyNotice applies the notice that an upstream sent about itself in a response.
func (u *upstreams) applyNotice(vm platform.VM, response notice.Response, at time.Time) {
	for _, field := range response.InvalidFields {
		u.node.metrics.Counter("hickorybank_unsound_answer_fields_total", "field", field).Inc()
	}
	u.mu.Lock()
	u.balancer.ApplyResponse(vm.ID, response, at)
	u.mu.Unlock()
	if response.Leaving {
		u.node.members.Observe(vm.Addr, membership.ReportedLeaving) // also informs the other nodes
	}
}
