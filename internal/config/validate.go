package config

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Validate returns the faults of the document, or nil if it is valid.
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

// validator collects the faults and the names that references are checked against.
type validator struct {
	doc    *Document
	faults Faults
	// callerNames are the names that callers may request (classes, models and versions), with the
	// path of the field that declares each.
	callerNames  map[string]string
	versionNames map[string]bool
	classes      map[string]bool
	serviceNames map[string]bool
}

func newValidator(d *Document) *validator {
	return &validator{
		doc:          d,
		callerNames:  map[string]string{},
		versionNames: map[string]bool{},
		classes:      map[string]bool{},
		serviceNames: map[string]bool{},
	}
}

// callerName checks a name that callers may request and registers it. Classes, models and versions
// share one namespace.
func (v *validator) callerName(field, name string) {
	v.name(field, name)
	if other, taken := v.callerNames[name]; taken && name != "" {
		v.faults.add(field, fmt.Sprintf("%q is already used by %s", name, other))
		return
	}
	v.callerNames[name] = field
}

// name checks the form of a name. Names become parts of table keys, URL paths and metric labels,
// where a slash, a space or a quote would act as a separator.
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

// IsName reports whether a text is a valid name: 1 to [MaxName] bytes of ASCII letters, digits and
// the characters . _ - @ + :
func IsName(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	case c == '.', c == '_', c == '-', c == '@', c == '+', c == ':':
		return true
	default:
		return false
	}
}

// unique adds a fault if the name has occurred in its list before.
func (v *validator) unique(field, name string, seen map[string]bool) {
	if seen[name] && name != "" {
		v.faults.add(field, fmt.Sprintf("%q stands twice", name))
	}
	seen[name] = true
}

// exists adds a fault if a reference names an entity that is not declared.
func (v *validator) exists(field, entity, name string, names map[string]bool) {
	if !names[name] {
		v.faults.add(field, fmt.Sprintf("there is no %s %q", entity, truncate(name)))
	}
}

func (v *validator) atMost(field string, n, limit int) {
	if n > limit {
		v.faults.add(field, fmt.Sprintf("has %d entries; accepted are at most %d", n, limit))
	}
}

// unitInterval checks that x is in [0,1]. It rejects NaN too.
func (v *validator) unitInterval(field string, x float64) {
	if !(x >= 0 && x <= 1) {
		v.faults.add(field, fmt.Sprintf("%v is not between 0 and 1", x))
	}
}

func (v *validator) between(field string, x, lower, upper int64) {
	if x < lower || x > upper {
		v.faults.add(field, fmt.Sprintf("%d is not between %d and %d", x, lower, upper))
	}
}

// size checks the length of the stored form. A document without one (a NaN in it) has a fault already.
func (v *validator) size() {
	data, err := json.Marshal(v.doc)
	if err == nil && len(data) > MaxDocumentBytes {
		v.faults.add("document", "is "+strconv.Itoa(len(data))+" bytes long; accepted are at most "+strconv.Itoa(MaxDocumentBytes))
	}
}
