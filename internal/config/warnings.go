package config

import "fmt"

// Warnings returns likely mistakes in a valid document, in the order of the document. They do not
// prevent the document from being accepted.
func (d *Document) Warnings() []Fault {
	var found Faults
	d.warnModels(&found)
	d.warnOrganisations(&found)
	return found
}

func (d *Document) warnModels(found *Faults) {
	for i, m := range d.Models {
		serving := 0
		for j, v := range m.Versions {
			if v.State == Serving {
				serving++
			}
			if v.State == Staged && v.Share == 0 {
				found.add(fmt.Sprintf("models[%d].versions[%d].share", i, j), fmt.Sprintf("%s is staged and gets no requests", v.Name))
			}
		}
		if serving == 0 {
			found.add(fmt.Sprintf("models[%d].versions", i), fmt.Sprintf("model %s has no serving version: its requests are refused or run on staged versions only", m.Name))
		}
	}
}

func (d *Document) warnOrganisations(found *Faults) {
	usable := d.usableVersions()
	for i, o := range d.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		if len(o.KeyHashes) == 0 {
			found.add(field+".key_hashes", fmt.Sprintf("%s has no key: nobody can call for it", o.Name))
		}
		for j, t := range o.Targets {
			d.warnTarget(found, fmt.Sprintf("%s.targets[%d].quality", field, j), o, t, usable)
		}
	}
}

// warnTarget warns of a target above the prior quality of every permitted version of the class's model.
func (d *Document) warnTarget(found *Faults, field string, o Organisation, t Target, usable map[string]usableVersion) {
	model := d.modelOfClass(t.Class)
	best := 0.0
	for _, name := range o.Versions {
		v, ok := usable[name]
		if ok && (model == "" || v.model == model) {
			best = max(best, v.quality)
		}
	}
	if t.Quality > best {
		found.add(field, fmt.Sprintf("%v is above the prior quality of every version that %s may use for it (%v at best)", t.Quality, o.Name, best))
	}
}

func (d *Document) modelOfClass(class string) string {
	for _, c := range d.Classes {
		if c.Name == class {
			return c.Model
		}
	}
	return ""
}

// usableVersion is a version that is not withdrawn.
type usableVersion struct {
	model   string
	quality float64
}

func (d *Document) usableVersions() map[string]usableVersion {
	usable := map[string]usableVersion{}
	for _, m := range d.Models {
		for _, v := range m.Versions {
			if v.State != Withdrawn {
				usable[v.Name] = usableVersion{model: m.Name, quality: v.PriorQuality}
			}
		}
	}
	return usable
}
