package config

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Validate returns every fault of the document, or nil.
func (d *Document) Validate() Faults {
	v := newValidator(d)
	v.presets()
	v.classNames()
	v.models()
	v.classModels()
	v.services()
	v.organisations()
	v.size()
	return v.faults
}

// validator gathers the faults and the names that references may use.
type validator struct {
	doc    *Document
	faults Faults
	// names are those a caller may ask for: of classes, models and versions,
	// each with the field that has it.
	names        map[string]string
	versionNames map[string]bool
	classes      map[string]bool
	serviceNames map[string]bool
}

func newValidator(d *Document) *validator {
	return &validator{
		doc:          d,
		names:        map[string]string{},
		versionNames: map[string]bool{},
		classes:      map[string]bool{},
		serviceNames: map[string]bool{},
	}
}

// claim takes a name that callers may ask for.
func (v *validator) claim(field, name string) {
	v.name(field, name)
	if other, taken := v.names[name]; taken && name != "" {
		v.faults.add(field, fmt.Sprintf("%q is already used by %s", name, other))
		return
	}
	v.names[name] = field
}

// name checks the form. Names stand in keys of the platform's table, in paths
// and in metric labels, so a slash, a space or a quote would cross into a
// neighbour's place there.
func (v *validator) name(field, name string) {
	switch {
	case name == "":
		v.faults.add(field, "must not be empty")
	case len(name) > MaxName:
		v.faults.add(field, fmt.Sprintf("must not be longer than %d bytes", MaxName))
	case !IsName(name):
		v.faults.add(field, fmt.Sprintf("%q may only have letters, digits and . _ - @ + :", name))
	}
}

// IsName says whether a text has the form of a name.
func IsName(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	for i := range len(name) {
		if !plainByte(name[i]) {
			return false
		}
	}
	return true
}

func plainByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	case c == '.', c == '_', c == '-', c == '@', c == '+', c == ':':
		return true
	default:
		return false
	}
}

// once says that a name stands a second time within its list.
func (v *validator) once(field, name string, seen map[string]bool) {
	if seen[name] && name != "" {
		v.faults.add(field, fmt.Sprintf("%q stands twice", name))
	}
	seen[name] = true
}

// known says that a reference leads nowhere.
func (v *validator) known(field, what, name string, names map[string]bool) {
	if !names[name] {
		v.faults.add(field, fmt.Sprintf("there is no %s %q", what, shorten(name)))
	}
}

func (v *validator) atMost(field string, n, most int) {
	if n > most {
		v.faults.add(field, fmt.Sprintf("has %d entries; accepted are at most %d", n, most))
	}
}

// unit refuses NaN too.
func (v *validator) unit(field string, x float64) {
	if !(x >= 0 && x <= 1) {
		v.faults.add(field, fmt.Sprintf("%v is not between 0 and 1", x))
	}
}

func (v *validator) between(field string, x, least, most int64) {
	if x < least || x > most {
		v.faults.add(field, fmt.Sprintf("%d is not between %d and %d", x, least, most))
	}
}

// size checks the stored form; numbers that have none are faults already.
func (v *validator) size() {
	data, err := json.Marshal(v.doc)
	if err == nil && len(data) > MaxDocumentBytes {
		v.faults.add("document", "is "+strconv.Itoa(len(data))+" bytes long; accepted are at most "+strconv.Itoa(MaxDocumentBytes))
	}
}
