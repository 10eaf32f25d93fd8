package choice

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/frontier"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Chooser is the policy in use. Its methods are safe for concurrent use.
type Chooser struct {
	settings Settings

	mu      sync.Mutex
	book    *quality.Book
	store   *quality.Store
	stamps  stamps
	states  map[string]*state
	ratings ratings
	raised  []Hold
	// stranded are classes for which every version was held.
	stranded map[string]struct{}
	view     *view
	builder  frontier.Builder
	// balances are by organisation and class.
	balances map[balanceKey]*balance
}

// New returns a chooser that has seen nothing yet.
func New(s Settings) *Chooser {
	s = s.withDefaults()
	return &Chooser{
		settings: s,
		book:     quality.NewBook(quality.Run{Node: s.Node, Epoch: s.Epoch}),
		store:    quality.NewStore(),
		stamps:   stamps{cells: make(map[quality.Key]stamp)},
		states:   make(map[string]*state),
		stranded: make(map[string]struct{}),
		balances: make(map[balanceKey]*balance),
		builder:  frontier.Builder{Confidence: s.Confidence, Enough: enoughRatings},
	}
}

// Choose returns the plan for a request.
func (c *Chooser) Choose(req Request) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(req.Snapshot, req.Now)
	call := newCall(c, req)
	return call.plan()
}

func (c *Chooser) run() quality.Run {
	return quality.Run{Node: c.settings.Node, Epoch: c.settings.Epoch}
}

// state returns what is known of a version.
func (c *Chooser) state(version string) *state {
	s, ok := c.states[version]
	if !ok {
		s = newState(version)
		c.states[version] = s
	}
	return s
}

// sorted returns the states in the order of the versions' names.
func (c *Chooser) sorted() []*state {
	list := slices.Collect(maps.Values(c.states))
	slices.SortFunc(list, func(a, b *state) int { return strings.Compare(a.name, b.name) })
	return list
}

// cell returns what all runs have seen of a cell.
func (c *Chooser) cell(key quality.Key, now time.Time) quality.Cell {
	var total quality.Cell
	s := c.state(key.Version)
	c.book.Add(&total, key)
	if s.pool == nil {
		c.store.Add(&total, key, func(r quality.Run) bool { return r != c.run() })
		s.restore(&total, key)
	} else {
		s.pool.add(&total, key)
	}
	total.Advance(now.UnixNano())
	return total
}

func (p *pooled) add(total *quality.Cell, key quality.Key) {
	for i := range p.cells {
		if p.cells[i].Key == key {
			total.Plus(p.cells[i].Cell)
		}
	}
}
