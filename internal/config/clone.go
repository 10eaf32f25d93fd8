package config

import "slices"

// Clone returns a deep copy. Changes are applied to a copy, so that the original stays as it is
// if a change is invalid.
func (d *Document) Clone() *Document {
	c := *d
	c.Presets = slices.Clone(d.Presets)
	c.Classes = slices.Clone(d.Classes)
	c.Models = slices.Clone(d.Models)
	for i := range c.Models {
		c.Models[i].Versions = slices.Clone(c.Models[i].Versions)
	}
	c.Services = slices.Clone(d.Services)
	for i := range c.Services {
		c.Services[i].Calls = slices.Clone(c.Services[i].Calls)
	}
	c.Organisations = slices.Clone(d.Organisations)
	for i := range c.Organisations {
		c.Organisations[i] = c.Organisations[i].clone()
	}
	return &c
}

func (o Organisation) clone() Organisation {
	o.KeyHashes = slices.Clone(o.KeyHashes)
	o.Versions = slices.Clone(o.Versions)
	o.Services = slices.Clone(o.Services)
	o.Targets = slices.Clone(o.Targets)
	return o
}
