package config

import (
	"encoding/hex"
	"fmt"
)

// Validate returns every fault of the document, or nil.
func (d *Document) Validate() Faults {
	v := &validator{doc: d, names: map[string]string{}, versions: map[string]bool{}, classes: map[string]bool{}, services: map[string]bool{}}
	v.presets()
	v.classNames()
	v.models()
	v.classModels()
	v.serviceCalls()
	v.organisations()
	return v.faults
}

type validator struct {
	doc      *Document
	faults   Faults
	names    map[string]string // name of a class, model or version to its field
	versions map[string]bool
	classes  map[string]bool
	services map[string]bool
}

func (v *validator) claim(field, name string) {
	if name == "" {
		v.faults.add(field, "must not be empty")
		return
	}
	if other, taken := v.names[name]; taken {
		v.faults.add(field, fmt.Sprintf("%q is already used by %s", name, other))
		return
	}
	v.names[name] = field
}

func (v *validator) unit(field string, x float64) {
	if !(x >= 0 && x <= 1) {
		v.faults.add(field, fmt.Sprintf("%v is not between 0 and 1", x))
	}
}

func (v *validator) presets() {
	seen := map[string]bool{}
	for i, p := range v.doc.Presets {
		field := fmt.Sprintf("presets[%d].name", i)
		if p.Name == "" {
			v.faults.add(field, "must not be empty")
		}
		if seen[p.Name] {
			v.faults.add(field, fmt.Sprintf("%q stands twice", p.Name))
		}
		seen[p.Name] = true
	}
	if !seen[v.doc.Preset] {
		v.faults.add("preset", fmt.Sprintf("%q is not one of the presets", v.doc.Preset))
	}
}

func (v *validator) classNames() {
	for i, c := range v.doc.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		v.claim(field+".name", c.Name)
		v.classes[c.Name] = true
		switch c.Kind {
		case Immediate, Heavy, Deferrable:
		default:
			v.faults.add(field+".kind", fmt.Sprintf("%q is not immediate, heavy or deferrable", c.Kind))
		}
		if c.DeadlineMillis <= 0 {
			v.faults.add(field+".deadline_ms", "must be above 0")
		}
	}
}

func (v *validator) models() {
	for i, m := range v.doc.Models {
		field := fmt.Sprintf("models[%d]", i)
		v.claim(field+".name", m.Name)
		if len(m.Versions) == 0 {
			v.faults.add(field+".versions", "must not be empty")
		}
		for j, version := range m.Versions {
			v.version(fmt.Sprintf("%s.versions[%d]", field, j), version)
		}
	}
}

func (v *validator) version(field string, version Version) {
	v.claim(field+".name", version.Name)
	v.versions[version.Name] = true
	switch version.State {
	case Serving, Staged, Withdrawn:
	default:
		v.faults.add(field+".state", fmt.Sprintf("%q is not serving, staged or withdrawn", version.State))
	}
	if version.InputCost < 0 {
		v.faults.add(field+".input_cost", "must not be below 0")
	}
	if version.OutputCost < 0 {
		v.faults.add(field+".output_cost", "must not be below 0")
	}
	if version.ExposureCap < 0 {
		v.faults.add(field+".exposure_cap", "must not be below 0")
	}
	v.unit(field+".prior_quality", version.PriorQuality)
	v.unit(field+".share", version.Share)
}

func (v *validator) classModels() {
	models := map[string]bool{}
	for _, m := range v.doc.Models {
		models[m.Name] = true
	}
	for i, c := range v.doc.Classes {
		if c.Model != "" && !models[c.Model] {
			v.faults.add(fmt.Sprintf("classes[%d].model", i), fmt.Sprintf("there is no model %q", c.Model))
		}
	}
}

func (v *validator) serviceCalls() {
	for i, s := range v.doc.Services {
		field := fmt.Sprintf("services[%d]", i)
		if s.Name == "" || v.services[s.Name] {
			v.faults.add(field+".name", fmt.Sprintf("%q is empty or stands twice", s.Name))
		}
		v.services[s.Name] = true
		for j, c := range s.Calls {
			v.call(fmt.Sprintf("%s.calls[%d]", field, j), c)
		}
	}
}

func (v *validator) call(field string, c Call) {
	if c.Method == "" {
		v.faults.add(field+".method", "must not be empty")
	}
	if len(c.Path) == 0 || c.Path[0] != '/' {
		v.faults.add(field+".path", "must begin with /")
	}
	if !v.classes[c.Class] {
		v.faults.add(field+".class", fmt.Sprintf("there is no class %q", c.Class))
	}
	if c.Cost < 0 {
		v.faults.add(field+".cost", "must not be below 0")
	}
}

func (v *validator) organisations() {
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, o := range v.doc.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		if o.Name == "" || names[o.Name] {
			v.faults.add(field+".name", fmt.Sprintf("%q is empty or stands twice", o.Name))
		}
		names[o.Name] = true
		v.organisation(field, o, keys)
	}
}

func (v *validator) organisation(field string, o Organisation, keys map[string]bool) {
	if !(o.Weight > 0) {
		v.faults.add(field+".weight", "must be above 0")
	}
	if !(o.RatePerSecond >= 0) {
		v.faults.add(field+".rate_per_second", "must not be below 0")
	}
	for i, key := range o.KeyHashes {
		v.keyHash(fmt.Sprintf("%s.key_hashes[%d]", field, i), key, keys)
	}
	for i, name := range o.Versions {
		if !v.versions[name] {
			v.faults.add(fmt.Sprintf("%s.versions[%d]", field, i), fmt.Sprintf("there is no version %q", name))
		}
	}
	for i, name := range o.Services {
		if !v.services[name] {
			v.faults.add(fmt.Sprintf("%s.services[%d]", field, i), fmt.Sprintf("there is no service %q", name))
		}
	}
	for i, t := range o.Targets {
		if !v.classes[t.Class] {
			v.faults.add(fmt.Sprintf("%s.targets[%d].class", field, i), fmt.Sprintf("there is no class %q", t.Class))
		}
		v.unit(fmt.Sprintf("%s.targets[%d].quality", field, i), t.Quality)
	}
}

func (v *validator) keyHash(field, key string, keys map[string]bool) {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) != KeyHashBytes {
		v.faults.add(field, "is not a SHA-256 sum in hexadecimal")
	}
	if keys[key] {
		v.faults.add(field, "stands twice")
	}
	keys[key] = true
}
