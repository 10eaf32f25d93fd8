package node

import (
	"context"
	"errors"

	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const addressesTTL = 5000 // milliseconds

func (n *Node) pick(role platform.Role, service string) (platform.VM, bool) {
	var fit []platform.VM
	for _, vm := range *n.vms.Load() {
		if vm.Role == role && vm.Service == service && vm.State == platform.Live {
			fit = append(fit, vm)
		}
	}
	if len(fit) == 0 {
		return platform.VM{}, false
	}
	return fit[n.turn.Add(1)%uint64(len(fit))], true
}

// Service calls a plain service.
func (n *Node) Service(ctx context.Context, call api.ServiceCall) (upstream.ServiceAnswer, error) {
	vm, ok := n.pick(platform.RoleService, call.Service.Name)
	if !ok {
		return upstream.ServiceAnswer{}, request.Refuse(request.CodeNoUpstream, retrySoon, "no upstream offers "+call.Service.Name)
	}
	answer, err := n.deps.Services.Do(ctx, vm.Addr, call.Request)
	if err != nil {
		return upstream.ServiceAnswer{}, failureOf(err)
	}
	return answer, nil
}

// Addresses returns the live entry nodes.
func (n *Node) Addresses(string) api.Addresses {
	list := api.Addresses{Addresses: []string{}, TTLMillis: addressesTTL}
	for _, vm := range *n.vms.Load() {
		if vm.Role == platform.RoleEntry && vm.State == platform.Live {
			list.Addresses = append(list.Addresses, vm.Addr)
		}
	}
	return list
}

// failureOf turns an upstream's error into a true outcome.
func failureOf(err error) *request.Failure {
	f := &request.Failure{Code: request.CodeUpstreamFailed, Message: err.Error(), Outcome: request.Unknown, RetryAfter: retrySoon}
	var e *upstream.Error
	if errors.As(err, &e) && e.Reach != upstream.MaybeRun {
		f.Outcome = request.NotRun
	}
	return f
}
