package example

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Topology is where a deployment runs and on what: the sizes of the brief.
type Topology struct {
	Region         string
	FailureDomains []string
	// Engines and Services are how many drafting and service runners there
	// are.
	Engines  int
	Services int
	// Service is the plain service that the service runners offer.
	Service string
	// Entries is how many entry VMs there are.
	Entries int
	// BetweenDomains and ToClients are one-way delays.
	BetweenDomains time.Duration
	ToClients      time.Duration
	// HonoursFence says whether the engines refuse an order with an old
	// fencing number.
	HonoursFence bool
	// Versions are those of the document, which the engines share out.
	Versions []string
}

// OperatorKey is the operator's key of every example deployment.
const OperatorKey = "demo-operator"

// DemoKey is the bearer key of an organisation of an example deployment.
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

// LoadTopology returns the deployment's topology.
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

// Domain is the failure domain of the i-th VM of a role: they take turns.
func (t Topology) Domain(i int) string { return t.FailureDomains[i%len(t.FailureDomains)] }

// EngineID names the i-th drafting runner.
func (t Topology) EngineID(i int) string { return fmt.Sprintf("engine-%d", i+1) }

// ServiceID names the i-th service runner.
func (t Topology) ServiceID(i int) string { return fmt.Sprintf("%s-%d", t.Service, i+1) }

// EntryID names the i-th entry VM.
func (t Topology) EntryID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// versionsPerEngine is how many versions an engine has loaded.
const versionsPerEngine = 2

// Loaded are the versions that the i-th engine has loaded. Each version is on
// several engines in every failure domain that has enough of them.
func (t Topology) Loaded(i int) []string {
	loaded := make([]string, 0, versionsPerEngine)
	for j := range versionsPerEngine {
		loaded = append(loaded, t.Versions[(i+j*len(t.Versions)/versionsPerEngine)%len(t.Versions)])
	}
	return loaded
}
