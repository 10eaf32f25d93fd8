package load

import (
	"cmp"
	"slices"
)

// counter counts occurrences by name.
type counter struct {
	n map[string]int64
}

func newCounter() counter { return counter{n: map[string]int64{}} }

func (c counter) add(name string) {
	if name != "" {
		c.n[name]++
	}
}

// counts returns the counts, sorted by name.
func (c counter) counts() []Count {
	out := make([]Count, 0, len(c.n))
	for name, n := range c.n {
		out = append(out, Count{Name: name, N: n})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
