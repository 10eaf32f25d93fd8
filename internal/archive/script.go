package archive

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// editField compares a field with the one of the same name in the old state.
func editField(old []Field, f Field) (fieldEdit, error) {
	whole := fieldEdit{Name: f.Name, Value: f.Value}
	before, ok := find(old, f.Name)
	if !ok {
		return whole, nil
	}
	oldElements, ok := Elements(before)
	if !ok {
		return whole, nil
	}
	newElements, ok := Elements(f.Value)
	if !ok {
		return whole, nil
	}
	return fieldEdit{Name: f.Name, Runs: runsOf(oldElements, newElements)}, nil
}

// runsOf expresses an array by runs of another.
func runsOf(before, after []json.RawMessage) []run {
	places := make(map[uint64]int, len(before))
	for i, e := range before {
		places[xxhash.Sum64(e)] = i
	}
	runs := []run{{}}
	for _, e := range after {
		last := &runs[len(runs)-1]
		place, known := places[xxhash.Sum64(e)]
		known = known && bytes.Equal(before[place], e)
		switch {
		case !known:
			last.New = append(last.New, e)
		case len(last.New) == 0 && (last.Count == 0 || last.From+last.Count == place):
			last.From = place - last.Count
			last.Count++
		default:
			runs = append(runs, run{From: place, Count: 1})
		}
	}
	return runs
}

// build makes the new state out of the old fields.
func (s script) build(old []Field) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(sizeOf(old))
	b.WriteByte('{')
	for i, f := range s.Fields {
		if i > 0 {
			b.WriteByte(',')
		}
		name, err := json.Marshal(f.Name)
		if err != nil {
			return nil, eris.Wrap(err, "encode field's name")
		}
		b.Write(name)
		b.WriteByte(':')
		if err := f.write(&b, old); err != nil {
			return nil, err
		}
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// sizeOf is about how long an object with some fields is.
func sizeOf(fields []Field) (size int) {
	for _, f := range fields {
		size += len(f.Name) + len(f.Value) + len(`"":,`)
	}
	return size
}

// newBytes is how much of a field's new value the old one does not hold.
func (f fieldEdit) newBytes() int {
	size := len(f.Value)
	for _, r := range f.Runs {
		for _, e := range r.New {
			size += len(e)
		}
	}
	return size
}

func (f fieldEdit) write(b *bytes.Buffer, old []Field) error {
	if len(f.Value) > 0 {
		b.Write(f.Value)
		return nil
	}
	before, _ := find(old, f.Name)
	elements, ok := Elements(before)
	if !ok {
		return eris.Errorf("delta edits field %s, which is no array", f.Name)
	}
	b.WriteByte('[')
	first := true
	for _, r := range f.Runs {
		if r.From < 0 || r.Count < 0 || r.From+r.Count > len(elements) {
			return eris.Errorf("delta copies elements that field %s does not have", f.Name)
		}
		first = writeAll(b, elements[r.From:r.From+r.Count], first)
		first = writeAll(b, r.New, first)
	}
	b.WriteByte(']')
	return nil
}

func writeAll(b *bytes.Buffer, elements []json.RawMessage, first bool) bool {
	for _, e := range elements {
		if !first {
			b.WriteByte(',')
		}
		first = false
		b.Write(e)
	}
	return first
}
