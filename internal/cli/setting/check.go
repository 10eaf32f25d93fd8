package setting

import (
	"fmt"
	"reflect"
	"strings"
)

// Tags of a field, beside those of go-flags.
const (
	// tagAccept says what is accepted: a word of forms or "one of a, b" for a
	// text or each of a list, LEAST..MOST for a Duration, Count or Number.
	tagAccept = "accept"
	// tagNeeded says with "yes" that the setting must be given.
	tagNeeded = "needed"
	// tagSecret says with "yes" that the value is not to be shown.
	tagSecret = "secret"

	yes = "yes"
)

// ranged is a setting with a least and a greatest value.
type ranged interface {
	given() string
	within(least, most string) bool
}

// Check returns every fault of the settings in the struct that data points to,
// those of embedded structs included.
func Check(data any) Faults {
	var faults Faults
	checkStruct(reflect.ValueOf(data).Elem(), &faults)
	return faults
}

func checkStruct(v reflect.Value, faults *Faults) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous && field.Type.Kind() == reflect.Struct {
			checkStruct(v.Field(i), faults)
			continue
		}
		if field.Tag.Get("long") == "" || field.Type.Kind() == reflect.Bool {
			continue
		}
		checkField(field, v.Field(i).Interface(), faults)
	}
}

func checkField(field reflect.StructField, value any, faults *Faults) {
	switch value := value.(type) {
	case string:
		checkText(field, value, faults)
	case []string:
		if len(value) == 0 {
			checkText(field, "", faults)
		}
		for _, one := range value {
			checkText(field, one, faults)
		}
	case ranged:
		checkRange(field, value, faults)
	default:
		panic("setting of unexpected type: " + field.Name)
	}
}

func checkText(field reflect.StructField, text string, faults *Faults) {
	f := formOf(field.Tag.Get(tagAccept))
	missing := text == "" && field.Tag.Get(tagNeeded) == yes
	if missing || (text != "" && !f.fits(text)) {
		faults.add(field, text, f.accepted)
	}
}

func checkRange(field reflect.StructField, value ranged, faults *Faults) {
	least, most, ok := strings.Cut(field.Tag.Get(tagAccept), "..")
	if !ok {
		panic("accept tag without a range: " + field.Name)
	}
	missing := value.given() == "" && field.Tag.Get(tagNeeded) == yes
	if missing || (value.given() != "" && !value.within(least, most)) {
		faults.add(field, value.given(), least+" to "+most)
	}
}

func (f *Faults) add(field reflect.StructField, value, accepted string) {
	if field.Tag.Get(tagSecret) == yes && value != "" {
		value = fmt.Sprintf("(not shown, %d characters)", len(value))
	}
	*f = append(*f, Fault{Flag: field.Tag.Get("long"), Variable: field.Tag.Get("env"), Value: value, Accepted: accepted})
}
