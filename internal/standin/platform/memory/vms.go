package memory

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// vms is the lagging VM list of a Platform.
type vms struct{ p *Platform }

var _ platform.VMs = vms{}

// List implements [platform.VMs].
func (v vms) List(ctx context.Context) ([]platform.VM, error) {
	var list []platform.VM
	err := v.p.read(ctx, fault.VMs, v.p.lists, func(now time.Time) {
		list = v.p.vms.AsOf(now.Add(-v.p.lag))
	})
	return list, err
}

// RegisterVM adds a VM, or replaces the one with its id. An empty state means
// live. Registering, leaving and removing are the platform's own doing: faults
// do not touch them.
func (p *Platform) RegisterVM(_ context.Context, vm platform.VM) error {
	if vm.State == "" {
		vm.State = platform.Live
	}
	if err := checkVM(vm); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.Register(vm, p.settings.Now())
	return nil
}

// LeaveVM marks a VM as leaving.
func (p *Platform) LeaveVM(_ context.Context, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.vms.Leave(id, p.settings.Now()) {
		return &wire.Refusal{Reason: wire.Absent, Detail: "no VM " + id}
	}
	return nil
}

// RemoveVM takes a VM out of the list; an absent one is no error.
func (p *Platform) RemoveVM(_ context.Context, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.Remove(id, p.settings.Now())
	return nil
}
