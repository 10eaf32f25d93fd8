package dev

import (
	"crypto/sha256"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/node"
)

// operatorName is the demo operator's name in the log of changes.
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
		listen, adminListen = withFreePort(listen), withFreePort(adminListen)
	}
	// The demo's session key is not secret: it depends on the deployment's name only.
	sessionKey := sha256.Sum256([]byte("demo " + d.settings.Deployment))
	return node.Settings{
		ID: d.topology.EntryID(i), FailureDomain: d.topology.Domain(i),
		Listen: listen, PeerListen: withFreePort(listen), AdminListen: adminListen,
		OperatorKeyHashes: []string{operatorName + "=" + config.HashKey(example.OperatorKey)},
		SessionKeys:       [][]byte{sessionKey[:]},
		AddressTTL:        d.settings.AddressTTL,
		Seed:              d.settings.Seed + uint64(i),
	}
}
