package dev

import (
	"crypto/sha256"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/node"
)

// operatorName stands for the demo operator in the log of changes.
const operatorName = "demo"

func (d *Deployment) startEntries() error {
	for i := range d.settings.Entries {
		n, err := node.New(d.entrySettings(i), node.Deps{Platform: d.client, Engines: d.engines, Services: d.services, Log: d.log})
		if err != nil {
			return err
		}
		if err := n.Start(); err != nil {
			return err
		}
		d.entries = append(d.entries, n)
		if err := d.registerVM(n.VM()); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) entrySettings(i int) node.Settings {
	listen, adminListen := d.settings.Listen, d.settings.AdminListen
	if i > 0 {
		listen, adminListen = portZero(listen), portZero(adminListen)
	}
	// A key of the demo is no secret: it is the same in every process.
	sessionKey := sha256.Sum256([]byte("demo " + d.settings.Deployment))
	return node.Settings{
		ID: d.topology.EntryID(i), FailureDomain: d.topology.Domain(i),
		Listen: listen, PeerListen: portZero(listen), AdminListen: adminListen,
		OperatorKeyHashes: []string{operatorName + "=" + config.HashKey(example.OperatorKey)},
		SessionKeys:       [][]byte{sessionKey[:]},
		AddressTTL:        d.settings.AddressTTL,
		Seed:              d.settings.Seed + uint64(i),
	}
}
