package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is one field that two documents do not agree on. Entries of lists
// are named by what identifies them, for example
// "organisations[tunis].targets[summary].quality".
type Difference struct {
	Field string `json:"field"`
	// Before and After are in JSON; empty where the field is absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String is one line for people.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return "+ " + d.Field + " " + d.After
	case d.After == "":
		return "- " + d.Field + " " + d.Before
	default:
		return "~ " + d.Field + " " + d.Before + " -> " + d.After
	}
}

// Diff returns what changes from one document to another, sorted by field. A
// nil document is an empty one. The order within lists is no difference.
func Diff(before, after *Document) []Difference {
	d := &differ{}
	d.value("", generic(before), generic(after))
	slices.SortFunc(d.found, func(a, b Difference) int {
		if a.Field < b.Field {
			return -1
		}
		return 1
	})
	return d.found
}

type differ struct {
	found []Difference
}

// generic returns the document as maps and lists; what has no JSON form (NaN)
// is in no valid document and counts as empty.
func generic(doc *Document) any {
	if doc == nil {
		doc = &Document{}
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return nil
	}
	var v any
	_ = json.Unmarshal(data, &v) // it was just written
	return v
}

func (d *differ) value(field string, before, after any) {
	b, bothMaps := before.(map[string]any)
	a, ok := after.(map[string]any)
	if bothMaps && ok {
		d.members(field, b, a)
		return
	}
	bl, beforeList := before.([]any)
	al, afterList := after.([]any)
	if beforeList || afterList {
		d.entries(field, byIdentity(bl), byIdentity(al))
		return
	}
	d.scalar(field, before, after)
}

func (d *differ) scalar(field string, before, after any) {
	b, a := text(before), text(after)
	if b != a {
		d.found = append(d.found, Difference{Field: field, Before: b, After: a})
	}
}

func (d *differ) members(field string, before, after map[string]any) {
	for _, name := range union(before, after) {
		d.value(join(field, name), before[name], after[name])
	}
}

func (d *differ) entries(field string, before, after map[string]any) {
	for _, id := range union(before, after) {
		d.value(fmt.Sprintf("%s[%s]", field, id), before[id], after[id])
	}
}

func union(a, b map[string]any) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// byIdentity names the entries of a list.
func byIdentity(list []any) map[string]any {
	out := map[string]any{}
	for _, entry := range list {
		out[identity(entry)] = entry
	}
	return out
}

// identity is the name of an entity, the class of a target, the method and
// path of a call, or the entry itself.
func identity(entry any) string {
	object, ok := entry.(map[string]any)
	if !ok {
		return fmt.Sprint(entry)
	}
	if name, ok := object["name"].(string); ok {
		return name
	}
	if method, ok := object["method"].(string); ok {
		return fmt.Sprint(method, " ", object["path"])
	}
	return fmt.Sprint(object["class"])
}

func text(v any) string {
	if v == nil {
		return ""
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
