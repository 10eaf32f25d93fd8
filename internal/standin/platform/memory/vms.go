package memory

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// vms is the VM list of a Platform. Its reads return an outdated list.
type vms struct{ p *Platform }

var _ platform.VMs = vms{}

// List implements [platform.VMs].
func (v vms) List(ctx context.Context) ([]platform.VM, error) {
	var list []platform.VM
	err := v.p.read(ctx, fault.VMs, v.p.vmLists, func(now time.Time) {
		list = v.p.vms.AsOf(now.Add(-v.p.lag))
	})
	return list, err
}

// RegisterVM adds a VM, or replaces the VM with the same id. An empty state means
// live. Faults do not affect RegisterVM, LeaveVM and RemoveVM, because the platform
// itself makes these changes.
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

// LeaveVM sets a VM's state to leaving. It returns a refusal when no VM has the id.
func (p *Platform) LeaveVM(_ context.Context, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.vms.Leave(id, p.settings.Now()) {
		return &wire.Refusal{Reason: wire.Absent, Detail: "no VM " + id}
	}
	return nil
}

// RemoveVM deletes a VM. It does nothing when no VM has the id.
func (p *Platform) RemoveVM(_ context.Context, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.Remove(id, p.settings.Now())
	return nil
}
