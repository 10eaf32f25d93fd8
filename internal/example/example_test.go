package example

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
)

// The documents must be valid without warnings and match the sizes of the brief. Each
// version must be loaded in several failure domains, or a lost domain takes it away.
func TestDeploymentsHaveTheSizesOfTheBrief(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			doc, err := Load(name)
			is.NoErr(err)
			is.Equal(len(doc.Warnings()), 0)
			is.Equal(len(doc.Organisations), 10)
			topology, err := LoadTopology(name)
			is.NoErr(err)
			is.Equal(len(topology.FailureDomains), 4)
			is.Equal(topology.Engines, 18)
			is.Equal(topology.Services, 4)
			is.Equal(doc.Services[0].Name, topology.Service)
			snapshot, err := config.Compile(1, doc)
			is.NoErr(err)
			for _, o := range doc.Organisations {
				is.Equal(snapshot.OrganisationByKey(DemoKey(o.Name)).Name, o.Name)
			}
			checkSpread(t, topology)
		})
	}
	_, err := LoadTopology("nowhere")
	is.New(t).True(err != nil)
}

// checkSpread checks that every version is loaded in at least three failure domains.
func checkSpread(t *testing.T, topology Topology) {
	t.Helper()
	domains := map[string]map[string]bool{}
	for i := range topology.Engines {
		for _, v := range topology.Loaded(i) {
			if domains[v] == nil {
				domains[v] = map[string]bool{}
			}
			domains[v][topology.Domain(i)] = true
		}
	}
	for _, v := range topology.Versions {
		if len(domains[v]) < 3 {
			t.Errorf("version %s is loaded in %d failure domains, want at least 3", v, len(domains[v]))
		}
	}
}
