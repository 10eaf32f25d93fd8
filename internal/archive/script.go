package archive

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// diffField returns the edit that gives field f its new value. It uses runs if both the
// old and the new value are arrays.
func diffField(oldFields []Field, f Field) (fieldEdit, error) {
	replacement := fieldEdit{Name: f.Name, Value: f.Value}
	before, ok := findField(oldFields, f.Name)
	if !ok {
		return replacement, nil
	}
	oldElements, ok := Elements(before)
	if !ok {
		return replacement, nil
	}
	newElements, ok := Elements(f.Value)
	if !ok {
		return replacement, nil
	}
	return fieldEdit{Name: f.Name, Runs: diffElements(oldElements, newElements)}, nil
}

// diffElements expresses the array after by runs of the array before. Elements are found
// by hash and then compared.
func diffElements(before, after []json.RawMessage) []run {
	indexes := make(map[uint64]int, len(before))
	for i, e := range before {
		indexes[xxhash.Sum64(e)] = i
	}
	runs := []run{{}}
	for _, e := range after {
		last := &runs[len(runs)-1]
		index, known := indexes[xxhash.Sum64(e)]
		known = known && bytes.Equal(before[index], e)
		switch {
		case !known:
			last.New = append(last.New, e)
		case len(last.New) == 0 && (last.Count == 0 || last.From+last.Count == index):
			last.From = index - last.Count
			last.Count++
		default:
			runs = append(runs, run{From: index, Count: 1})
		}
	}
	return runs
}

// apply returns the new state, given the fields of the old one.
func (s script) apply(oldFields []Field) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(approximateSize(oldFields))
	b.WriteByte('{')
	for i, f := range s.Fields {
		if i > 0 {
			b.WriteByte(',')
		}
		name, err := json.Marshal(f.Name)
		if err != nil {
			return nil, eris.Wrap(err, "encode field name")
		}
		b.Write(name)
		b.WriteByte(':')
		if err := f.write(&b, oldFields); err != nil {
			return nil, err
		}
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// approximateSize returns the approximate encoded size of an object with these fields, in
// bytes.
func approximateSize(fields []Field) (size int) {
	for _, f := range fields {
		size += len(f.Name) + len(f.Value) + len(`"":,`)
	}
	return size
}

// newBytes returns how many bytes of the new value are not copied from the old one.
func (f fieldEdit) newBytes() int {
	size := len(f.Value)
	for _, r := range f.Runs {
		for _, e := range r.New {
			size += len(e)
		}
	}
	return size
}

// write appends the new value of the field to b.
func (f fieldEdit) write(b *bytes.Buffer, oldFields []Field) error {
	if len(f.Value) > 0 {
		b.Write(f.Value)
		return nil
	}
	before, _ := findField(oldFields, f.Name)
	elements, ok := Elements(before)
	if !ok {
		return eris.Errorf("delta edits field %q, which is not an array", f.Name)
	}
	b.WriteByte('[')
	empty := true
	for _, r := range f.Runs {
		if r.From < 0 || r.Count < 0 || r.From > len(elements) || r.Count > len(elements)-r.From {
			return eris.Errorf("delta copies %d elements from index %d of field %q, which has %d", r.Count, r.From, f.Name, len(elements))
		}
		empty = writeElements(b, elements[r.From:r.From+r.Count], empty)
		empty = writeElements(b, r.New, empty)
	}
	b.WriteByte(']')
	return nil
}

// writeElements appends elements to an array and returns whether the array is still empty.
func writeElements(b *bytes.Buffer, elements []json.RawMessage, empty bool) bool {
	for _, e := range elements {
		if !empty {
			b.WriteByte(',')
		}
		empty = false
		b.Write(e)
	}
	return empty
}
