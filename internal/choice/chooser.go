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

// Chooser chooses versions from ratings. Its methods are safe for concurrent use.
type Chooser struct {
	settings Settings

	mu            sync.Mutex
	recorder      *quality.Recorder
	store         *quality.Store
	stamps        stamps
	states        map[string]*versionState
	ratingService ratingService
	raised        []Hold
	// stranded are the classes for which a request found every version held.
	stranded map[string]struct{}
	view     *view
	builder  frontier.Builder
	// balances are by organisation and class.
	balances map[balanceKey]*balance
}

// New returns a chooser without observations.
func New(s Settings) *Chooser {
	s = s.withDefaults()
	return &Chooser{
		settings: s,
		recorder: quality.NewRecorder(quality.Run{Node: s.Node, Epoch: s.Epoch}),
		store:    quality.NewStore(),
		stamps:   stamps{cells: make(map[quality.Key]stamp)},
		states:   make(map[string]*versionState),
		stranded: make(map[string]struct{}),
		balances: make(map[balanceKey]*balance),
		builder:  frontier.Builder{Confidence: s.Confidence, Enough: exploredRatings},
	}
}

// Choose returns the plan for a request. It implements [Policy].
func (c *Chooser) Choose(req Request) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(req.Snapshot, req.Now)
	d := newDecision(c, req)
	return d.plan()
}

func (c *Chooser) run() quality.Run {
	return quality.Run{Node: c.settings.Node, Epoch: c.settings.Epoch}
}

// state returns the state of a version, and creates it if necessary.
func (c *Chooser) state(version string) *versionState {
	s, ok := c.states[version]
	if !ok {
		s = newState(version)
		c.states[version] = s
	}
	return s
}

// sortedStates returns the states in the order of the versions' names.
func (c *Chooser) sortedStates() []*versionState {
	list := slices.Collect(maps.Values(c.states))
	slices.SortFunc(list, func(a, b *versionState) int { return strings.Compare(a.name, b.name) })
	return list
}

// cell returns the sum of a cell over all runs.
func (c *Chooser) cell(key quality.Key, now time.Time) quality.Cell {
	var total quality.Cell
	s := c.state(key.Version)
	c.recorder.Add(&total, key)
	if s.pool == nil {
		c.store.Add(&total, key, func(r quality.Run) bool { return r != c.run() })
		s.addRestored(&total, key)
	} else {
		s.pool.add(&total, key)
	}
	total.Advance(now.UnixNano())
	return total
}

func (p *receivedPool) add(total *quality.Cell, key quality.Key) {
	for i := range p.cells {
		if p.cells[i].Key == key {
			total.Plus(p.cells[i].Cell)
		}
	}
}
