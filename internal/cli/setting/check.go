package setting

import (
	"fmt"
	"reflect"
	"strings"
)

// Tags of a field in addition to those of go-flags.
const (
	// tagAccept defines the accepted values. For a string, or each item of a list, it is a key of
	// textFormats or "one of a, b". For a Duration, Count or Number it is LOWER..UPPER.
	tagAccept = "accept"
	// tagNeeded is "yes" for a required setting.
	tagNeeded = "needed"
	// tagSecret is "yes" for a setting whose value must not be printed.
	tagSecret = "secret"

	yes = "yes"
)

// rangeSetting is a setting with a lower and an upper bound, both inclusive.
type rangeSetting interface {
	given() string
	within(lower, upper string) bool
}

// Check returns the faults of all settings in the struct that data points to, including those in
// embedded structs. It panics if a field's type or accept tag is invalid.
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
		for _, item := range value {
			checkText(field, item, faults)
		}
	case rangeSetting:
		checkRange(field, value, faults)
	default:
		panic("setting of unexpected type: " + field.Name)
	}
}

func checkText(field reflect.StructField, text string, faults *Faults) {
	f := formatOf(field.Tag.Get(tagAccept))
	missing := text == "" && field.Tag.Get(tagNeeded) == yes
	if missing || (text != "" && !f.matches(text)) {
		faults.add(field, text, f.accepted)
	}
}

func checkRange(field reflect.StructField, value rangeSetting, faults *Faults) {
	lower, upper, ok := strings.Cut(field.Tag.Get(tagAccept), "..")
	if !ok {
		panic("accept tag without a range: " + field.Name)
	}
	missing := value.given() == "" && field.Tag.Get(tagNeeded) == yes
	if missing || (value.given() != "" && !value.within(lower, upper)) {
		faults.add(field, value.given(), lower+" to "+upper)
	}
}

func (f *Faults) add(field reflect.StructField, value, accepted string) {
	if field.Tag.Get(tagSecret) == yes && value != "" {
		value = fmt.Sprintf("(not shown, %d characters)", len(value))
	}
	*f = append(*f, Fault{Flag: field.Tag.Get("long"), Variable: field.Tag.Get("env"), Value: value, Accepted: accepted})
}
