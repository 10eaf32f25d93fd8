package config

import "fmt"

func (v *validator) presets() {
	v.atMost("presets", len(v.doc.Presets), MaxPresets)
	seen := map[string]bool{}
	for i, p := range v.doc.Presets {
		field := fmt.Sprintf("presets[%d].name", i)
		v.name(field, p.Name)
		v.unique(field, p.Name, seen)
	}
	if !seen[v.doc.Preset] {
		v.faults.add("preset", fmt.Sprintf("%q is not one of the presets", truncate(v.doc.Preset)))
	}
}

func (v *validator) classNames() {
	v.atMost("classes", len(v.doc.Classes), MaxClasses)
	for i, c := range v.doc.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		v.callerName(field+".name", c.Name)
		v.classes[c.Name] = true
		switch c.Kind {
		case Immediate, Heavy, Deferrable:
		default:
			v.faults.add(field+".kind", fmt.Sprintf("%q is not immediate, heavy or deferrable", truncate(string(c.Kind))))
		}
		v.between(field+".deadline_ms", c.DeadlineMillis, 1, MaxDeadlineMillis)
	}
}

func (v *validator) classModels() {
	models := map[string]bool{}
	for _, m := range v.doc.Models {
		models[m.Name] = true
	}
	for i, c := range v.doc.Classes {
		if c.Model != "" {
			v.exists(fmt.Sprintf("classes[%d].model", i), "model", c.Model, models)
		}
	}
}

func (v *validator) models() {
	v.atMost("models", len(v.doc.Models), MaxModels)
	versions := 0
	for i, m := range v.doc.Models {
		field := fmt.Sprintf("models[%d]", i)
		v.callerName(field+".name", m.Name)
		if len(m.Versions) == 0 {
			v.faults.add(field+".versions", "must not be empty")
		}
		for j, version := range m.Versions {
			v.version(fmt.Sprintf("%s.versions[%d]", field, j), version)
		}
		v.shares(field, m)
		versions += len(m.Versions)
	}
	v.atMost("models[*].versions", versions, MaxVersions)
}

// shares checks that the shares of a model's staged versions add up to at most 1.
func (v *validator) shares(field string, m Model) {
	var sum float64
	for _, version := range m.Versions {
		if version.State == Staged {
			sum += version.Share
		}
	}
	if sum > 1 {
		v.faults.add(field+".versions", fmt.Sprintf("the shares of the staged versions add up to %v; accepted is at most 1", sum))
	}
}

func (v *validator) version(field string, version Version) {
	v.callerName(field+".name", version.Name)
	v.versionNames[version.Name] = true
	switch version.State {
	case Serving, Staged, Withdrawn:
	default:
		v.faults.add(field+".state", fmt.Sprintf("%q is not serving, staged or withdrawn", truncate(string(version.State))))
	}
	v.between(field+".input_cost", version.InputCost, 0, MaxCost)
	v.between(field+".output_cost", version.OutputCost, 0, MaxCost)
	v.between(field+".exposure_cap", int64(version.ExposureCap), 0, MaxExposureCap)
	v.unitInterval(field+".prior_quality", version.PriorQuality)
	v.unitInterval(field+".share", version.Share)
	if version.State == Staged {
		return
	}
	if version.Share != 0 {
		v.faults.add(field+".share", "only a staged version has a share")
	}
	if version.ExposureCap != 0 {
		v.faults.add(field+".exposure_cap", "only a staged version has an exposure cap")
	}
}
