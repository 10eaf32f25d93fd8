package capacity

import (
	"fmt"

	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	docClasses          = 12
	docModels           = 6
	docVersions         = 24
	docServices         = 4
	docVersionsPerOrg   = 8
	docTargetsPerOrg    = 4
	docVersionsPerModel = docVersions / docModels
)

// document returns a configuration with the given number of organisations and the number of
// versions of [TargetSize].
func document(organisations int) *config.Document {
	d := &config.Document{
		Preset:  "ordinary",
		Presets: []config.Preset{{Name: "ordinary", Cascades: true, AdvanceRollouts: true}},
	}
	kinds := []config.Kind{config.Immediate, config.Heavy, config.Deferrable}
	for i := range docClasses {
		d.Classes = append(d.Classes, config.Class{
			Name: className(i), Kind: kinds[i%len(kinds)], DeadlineMillis: 60_000,
			Model: modelName(i % docModels), Cascade: kinds[i%len(kinds)] == config.Deferrable,
		})
	}
	for i := range docModels {
		d.Models = append(d.Models, modelOf(i))
	}
	for i := range docServices {
		d.Services = append(d.Services, config.Service{Name: serviceName(i), Calls: []config.Call{
			{Method: "GET", Path: "/records/", Idempotent: true, Class: className(0), Cost: 10},
			{Method: "POST", Path: "/records/", Class: className(0), Cost: 20},
		}})
	}
	for i := range organisations {
		d.Organisations = append(d.Organisations, organisation(i))
	}
	return d
}

func modelOf(i int) config.Model {
	m := config.Model{Name: modelName(i)}
	for j := range docVersionsPerModel {
		m.Versions = append(m.Versions, config.Version{
			Name: versionName(i*docVersionsPerModel + j), State: config.Serving,
			InputCost: int64(100 * (j + 1)), OutputCost: int64(300 * (j + 1)), PriorQuality: 0.6 + 0.1*float64(j),
		})
	}
	return m
}

func organisation(i int) config.Organisation {
	o := config.Organisation{
		Name: orgName(i), KeyHashes: []string{config.HashKey(keyName(i))}, Weight: 1,
		Services: []string{serviceName(i % docServices)},
	}
	for j := range docVersionsPerOrg {
		o.Versions = append(o.Versions, versionName((i*docVersionsPerModel+j)%docVersions))
	}
	for j := range docTargetsPerOrg {
		o.Targets = append(o.Targets, config.Target{Class: className((i + j) % docClasses), Quality: 0.7})
	}
	return o
}

func className(i int) string { return fmt.Sprintf("class-%02d", i) }
func modelName(i int) string { return fmt.Sprintf("model-%d", i) }
func versionName(i int) string {
	return fmt.Sprintf("model-%d@%d", i/docVersionsPerModel, i%docVersionsPerModel+1)
}
func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }
func orgName(i int) string     { return fmt.Sprintf("organisation-%04d", i) }
func keyName(i int) string     { return fmt.Sprintf("key-of-organisation-%04d", i) }
