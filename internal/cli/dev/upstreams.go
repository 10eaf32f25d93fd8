package dev

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/service"
)

// stepTimeout is the time limit of one call to the platform and of closing after a failed start.
const stepTimeout = 30 * time.Second

func (d *Deployment) startEngines() error {
	for i := range d.topology.Engines {
		vm := platform.VM{ID: d.topology.EngineID(i), Role: platform.RoleEngine, FailureDomain: d.topology.Domain(i), State: platform.Live}
		server, err := engine.New(engine.Settings{
			ID: vm.ID, Listen: freePort, FaultListen: freePort, FailureDomain: vm.FailureDomain,
			Versions: d.topology.Loaded(i), BatchLimit: batchLimit,
			TimeToFirstToken: d.settings.FirstToken, TokenGap: d.settings.TokenGap, TokensPerAnswer: d.settings.Tokens,
			HonourFence: d.topology.HonoursFence, LoadLag: loadLag, WeightsURL: "http://" + d.platform.Addr(),
			Seed: d.settings.Seed + uint64(i),
		}, d.log)
		if err != nil {
			return err
		}
		if err := d.startUpstream(server, vm); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startServices() error {
	for i := range d.topology.Services {
		vm := platform.VM{
			ID: d.topology.ServiceID(i), Role: platform.RoleService, Service: d.topology.Service,
			FailureDomain: d.topology.Domain(i), State: platform.Live,
		}
		server, err := service.New(service.Settings{
			ID: vm.ID, Service: vm.Service, Listen: freePort, FaultListen: freePort, FailureDomain: vm.FailureDomain,
			Calls: d.doc.Services[0].Calls, Limit: batchLimit, LoadLag: loadLag,
		}, d.log)
		if err != nil {
			return err
		}
		if err := d.startUpstream(server, vm); err != nil {
			return err
		}
	}
	return nil
}

// upstreamServer is a component that has a listening address.
type upstreamServer interface {
	component
	Addr() string
}

func (d *Deployment) startUpstream(server upstreamServer, vm platform.VM) error {
	if err := server.Start(); err != nil {
		return err
	}
	d.upstreams = append(d.upstreams, server)
	vm.Addr = server.Addr()
	return d.registerVM(vm)
}

func (d *Deployment) registerVM(vm platform.VM) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	return d.client.RegisterVM(ctx, vm)
}
