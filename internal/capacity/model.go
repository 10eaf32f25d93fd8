package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/rotisserie/eris"
)

// Model puts the measured slopes together.
type Model struct {
	Size   Size
	Budget Budget
	Assume Assumptions
	Slopes Slopes
	// Tables is how many tables claims and bills go to: one for all regions or
	// one for each.
	Tables int
}

// NewModel returns the model of the page: the letter's size and one table for
// all regions, which is what the code knows.
func NewModel(s Slopes) Model {
	size := Letter()
	return Model{Size: size, Budget: LetterBudget(), Assume: DefaultAssumptions(), Slopes: s, Tables: 1}
}

// WithTables returns the model with another number of tables.
func (m Model) WithTables(n int) Model {
	m.Tables = n
	return m
}

// calc evaluates slopes and keeps the first that is missing.
type calc struct {
	Model
	err error
}

// at is a slope's value at a size.
func (c *calc) at(name string, size float64) float64 {
	s, err := c.Slopes.Find(name)
	if err != nil {
		if c.err == nil {
			c.err = err
		}
		return 0
	}
	return s.Line().At(size)
}

// per is the slope itself.
func (c *calc) per(name string) float64 {
	s, err := c.Slopes.Find(name)
	if err != nil && c.err == nil {
		c.err = err
	}
	return max(0, s.Line().Slope)
}

// segment is the data of one full packet, in bytes.
const segment = 1448

// wire adds the packet headers to the bytes of a question and its answer.
func (c *calc) wire(bytes float64) float64 {
	return bytes + c.Assume.PacketHeader*max(2, math.Ceil(bytes/segment))
}

// processor is the share of a core that nanoseconds take at a rate.
func processor(rate, nanoseconds float64) float64 { return rate * nanoseconds / 1e9 }

// peerCalls is a node that makes and answers calls of peers; the nanoseconds
// are those of both ends together.
func (c *calc) peerCalls(made, answered, nanoseconds, bytes float64) Cost {
	return Cost{
		Messages:  2 * (made + answered),
		Network:   (made + answered) * c.wire(bytes),
		Processor: processor((made+answered)/2, nanoseconds),
	}
}

// calls is a node that calls others, such as the platform or an upstream.
func (c *calc) calls(rate, nanoseconds, bytes float64) Cost {
	return Cost{Messages: 2 * rate, Network: rate * c.wire(bytes), Processor: processor(rate, nanoseconds)}
}

// memory is what so many bytes of live heap take of the process.
func (c *calc) memory(heap float64) float64 { return heap * c.Assume.HeapFactor }

// Results are all that the model says.
type Results struct {
	Roles []Role `json:"roles"`
	// Each is the control of an average node, Worst that of a node with one
	// duty at its most, the costliest duty first.
	Each  Cost   `json:"each"`
	Worst []Duty `json:"worst"`
	// Mended is Each once every Over of a role is met as it says.
	Mended  Cost     `json:"mended"`
	Data    Cost     `json:"data"`
	Reads   float64  `json:"reads"`
	Writes  float64  `json:"writes"`
	BadDays []BadDay `json:"bad_days"`
}

// Duty is an average node's control with one role at its most.
type Duty struct {
	Role string `json:"role"`
	Cost Cost   `json:"cost"`
}

// Results evaluates the model.
func (m Model) Results() (Results, error) {
	c := &calc{Model: m}
	r := Results{Roles: c.roles()}
	for _, role := range r.Roles {
		r.add(role)
	}
	for _, role := range r.Roles {
		if role.Plane == Control && role.Who != "" {
			r.Worst = append(r.Worst, Duty{Role: role.Name, Cost: r.Each.Plus(role.Each.Times(-1)).Plus(role.Busiest)})
		}
	}
	slices.SortStableFunc(r.Worst, func(a, b Duty) int { return cmp.Compare(b.Cost.Network, a.Cost.Network) })
	r.BadDays = c.badDays()
	return r, eris.Wrap(c.err, "model")
}

func (r *Results) add(role Role) {
	r.Reads += role.Reads
	r.Writes += role.Writes
	switch role.Plane {
	case Part:
		return
	case Data:
		r.Data = r.Data.Plus(role.Each)
		return
	}
	r.Each = r.Each.Plus(role.Each)
	r.Mended = r.Mended.Plus(role.Mended)
}

func (c *calc) roles() []Role {
	roles := []Role{
		c.requests(), c.carrying(), c.decisions(),
		c.process(), c.timers(), c.connections(), c.metrics(), c.addresses(), c.loadReports(),
		c.list(), c.configReading(), c.configTree(), c.administration(), c.rollouts(),
		c.limits(), c.summaries(), c.suspects(), c.claims(), c.bills(), c.settling(),
	}
	for i := range roles {
		if roles[i].Who == "" {
			roles[i].Busiest = roles[i].Each
		}
		if roles[i].Mended == (Cost{}) {
			roles[i].Mended = roles[i].Each
		}
	}
	return roles
}
