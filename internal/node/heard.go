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

// entryIDs are the IDs of all entry nodes; none while this one is not among them: it has
// just started, and the others do not know of it.
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

// hearing returns a context whose calls tell what the upstream's answers say of it.
func (u *upstreams) hearing(ctx context.Context, vm platform.VM) context.Context {
	return upstream.WithHeard(ctx, func(a notice.Response, at time.Time) { u.noticed(vm, a, at) })
}

// noticed takes what an upstream said of itself in an answer.
func (u *upstreams) noticed(vm platform.VM, a notice.Response, at time.Time) {
	for _, field := range a.InvalidFields {
		u.node.metrics.Counter("hickorybank_unsound_answer_fields_total", "field", field).Inc()
	}
	u.mu.Lock()
	u.balancer.ApplyNotice(vm.ID, a, at)
	u.mu.Unlock()
	if a.Leaving {
		u.node.members.Observe(vm.Addr, membership.SaidLeaving) // which tells the other nodes
	}
}
