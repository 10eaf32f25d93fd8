package example

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Topology describes the location and size of a deployment, as the brief gives them.
type Topology struct {
	Region         string
	FailureDomains []string
	// Engines and Services are the numbers of engine and service upstreams.
	Engines  int
	Services int
	// Service is the name of the service that the service upstreams offer.
	Service string
	// Entries is the number of entry VMs.
	Entries int
	// BetweenDomains is the one-way delay between failure domains, ToClients the one
	// between entry VMs and clients.
	BetweenDomains time.Duration
	ToClients      time.Duration
	// HonoursFence is true if the engines refuse requests with an outdated fencing
	// token.
	HonoursFence bool
	// Versions are the model versions of the document, distributed over the engines.
	Versions []string
}

// OperatorKey is the operator's bearer key in every example deployment.
const OperatorKey = "demo-operator"

// DemoKey returns the bearer key of an organisation in an example deployment.
func DemoKey(organisation string) string { return "demo-" + organisation }

var topologies = map[string]Topology{
	"tarifas": {
		Region: "co-caribe", FailureDomains: []string{"manga", "bocagrande", "mamonal", "getsemani"},
		Engines: 18, Services: 4, Service: "billing", Entries: 6,
		BetweenDomains: time.Millisecond, ToClients: time.Millisecond, HonoursFence: true,
	},
	"sahel": {
		Region: "tunis-nord", FailureDomains: []string{"charguia-a", "charguia-b", "ariana-un", "ariana-deux"},
		Engines: 18, Services: 4, Service: "records", Entries: 6,
		BetweenDomains: 1500 * time.Microsecond, ToClients: 3 * time.Millisecond,
	},
}

// LoadTopology returns the topology of a deployment, with the versions of its document.
// It fails if the name is unknown or the document is invalid.
func LoadTopology(name string) (Topology, error) {
	t, ok := topologies[name]
	if !ok {
		return Topology{}, eris.Errorf("there is no deployment %q; known are tarifas and sahel", name)
	}
	doc, err := Load(name)
	if err != nil {
		return Topology{}, err
	}
	t.Versions = versionNames(doc)
	return t, nil
}

func versionNames(doc *config.Document) []string {
	var names []string
	for _, m := range doc.Models {
		for _, v := range m.Versions {
			names = append(names, v.Name)
		}
	}
	return names
}

// Domain returns the failure domain of the i-th VM of a role, assigned round robin.
func (t Topology) Domain(i int) string { return t.FailureDomains[i%len(t.FailureDomains)] }

// EngineID returns the ID of the i-th engine VM, counted from 0.
func (t Topology) EngineID(i int) string { return fmt.Sprintf("engine-%d", i+1) }

// ServiceID returns the ID of the i-th service VM, counted from 0.
func (t Topology) ServiceID(i int) string { return fmt.Sprintf("%s-%d", t.Service, i+1) }

// EntryID returns the ID of the i-th entry VM, counted from 0.
func (t Topology) EntryID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// versionsPerEngine is the number of versions loaded on each engine.
const versionsPerEngine = 2

// Loaded returns the versions that the i-th engine has loaded. Each version is loaded
// on several engines, in at least three failure domains, so the loss of one domain
// leaves it available.
func (t Topology) Loaded(i int) []string {
	loaded := make([]string, 0, versionsPerEngine)
	for j := range versionsPerEngine {
		loaded = append(loaded, t.Versions[(i+j*len(t.Versions)/versionsPerEngine)%len(t.Versions)])
	}
	return loaded
}
