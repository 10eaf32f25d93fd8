package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is one field whose value differs between two documents. Field names list entries by
// their identity, for example "organisations[tunis].targets[summary].quality".
type Difference struct {
	Field string `json:"field"`
	// Before and After are JSON texts; empty where the field is absent.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as one readable line: "+" for added, "-" for removed, "~" for changed.
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

// Diff returns the differences between two documents, sorted by field. A nil document counts as
// empty. The order of list entries is ignored.
func Diff(before, after *Document) []Difference {
	d := &differ{}
	d.value("", genericJSON(before), genericJSON(after))
	slices.SortFunc(d.differences, func(a, b Difference) int {
		if a.Field < b.Field {
			return -1
		}
		return 1
	})
	return d.differences
}

type differ struct {
	differences []Difference
}

// genericJSON returns the document as maps and lists. It returns nil for a document without a JSON
// form (a NaN in it), which is never valid.
func genericJSON(doc *Document) any {
	if doc == nil {
		doc = &Document{}
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return nil
	}
	var v any
	_ = json.Unmarshal(data, &v) // cannot fail: data comes from json.Marshal
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
	b, a := jsonText(before), jsonText(after)
	if b != a {
		d.differences = append(d.differences, Difference{Field: field, Before: b, After: a})
	}
}

func (d *differ) members(field string, before, after map[string]any) {
	for _, name := range unionOfKeys(before, after) {
		d.value(join(field, name), before[name], after[name])
	}
}

func (d *differ) entries(field string, before, after map[string]any) {
	for _, id := range unionOfKeys(before, after) {
		d.value(fmt.Sprintf("%s[%s]", field, id), before[id], after[id])
	}
}

func unionOfKeys(a, b map[string]any) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// byIdentity maps the entries of a list by their identity.
func byIdentity(list []any) map[string]any {
	out := map[string]any{}
	for _, entry := range list {
		out[identity(entry)] = entry
	}
	return out
}

// identity returns the name of an entity, the method and path of a call, the class of a target, or
// the entry itself.
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

func jsonText(v any) string {
	if v == nil {
		return ""
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
