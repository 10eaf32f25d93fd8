package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/rotisserie/eris"
)

// Model combines measured slopes with the assumed size into the cost of each role.
type Model struct {
	Size   Size
	Budget Budget
	Assume Assumptions
	Slopes Slopes
	// Tables is the number of tables for claims and bills: one for all regions or one for each
	// region.
	Tables int
}

// NewModel returns the model of the page: the target size and one table for all regions, which
// is the implemented case.
func NewModel(s Slopes) Model {
	size := TargetSize()
	return Model{Size: size, Budget: TargetBudget(), Assume: DefaultAssumptions(), Slopes: s, Tables: 1}
}

// WithTables returns the model with another number of tables.
func (m Model) WithTables(n int) Model {
	m.Tables = n
	return m
}

// calc evaluates slopes and keeps the first error.
type calc struct {
	Model
	err error
}

// at returns the value of a slope at a size.
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

// perUnit returns the cost of one unit of size.
func (c *calc) perUnit(name string) float64 {
	s, err := c.Slopes.Find(name)
	if err != nil && c.err == nil {
		c.err = err
	}
	return max(0, s.Line().Slope)
}

// segmentBytes is the payload of one full packet, in bytes.
const segmentBytes = 1448

// withHeaders adds packet headers to the bytes of a request and its answer.
func (c *calc) withHeaders(bytes float64) float64 {
	return bytes + c.Assume.PacketHeader*max(2, math.Ceil(bytes/segmentBytes))
}

// processor returns the fraction of a core for a rate per second and a duration in nanoseconds.
func processor(rate, nanoseconds float64) float64 { return rate * nanoseconds / 1e9 }

// peerCalls returns the cost of a node that makes and answers peer calls, at rates per second.
// nanoseconds covers both ends of a call.
func (c *calc) peerCalls(made, answered, nanoseconds, bytes float64) Cost {
	return Cost{
		Messages:  2 * (made + answered),
		Network:   (made + answered) * c.withHeaders(bytes),
		Processor: processor((made+answered)/2, nanoseconds),
	}
}

// calls returns the cost of a node that calls others, such as the platform or an upstream.
func (c *calc) calls(rate, nanoseconds, bytes float64) Cost {
	return Cost{Messages: 2 * rate, Network: rate * c.withHeaders(bytes), Processor: processor(rate, nanoseconds)}
}

// memory returns the process memory for a number of bytes of live heap.
func (c *calc) memory(heap float64) float64 { return heap * c.Assume.HeapFactor }

// Results are the outputs of the model.
type Results struct {
	Roles []Role `json:"roles"`
	// Average is the control cost of an average node. Worst lists that of a node with one role at
	// its maximum, the most expensive first.
	Average Cost   `json:"each"`
	Worst   []Duty `json:"worst"`
	// Mitigated is Average after the changes that the OverBudget texts of the roles propose.
	Mitigated Cost     `json:"mended"`
	Data      Cost     `json:"data"`
	Reads     float64  `json:"reads"`
	Writes    float64  `json:"writes"`
	BadDays   []BadDay `json:"bad_days"`
}

// Duty is the control cost of an average node that has one role at its maximum.
type Duty struct {
	Role string `json:"role"`
	Cost Cost   `json:"cost"`
}

// Results evaluates the model. It returns [ErrMissing] if a slope is missing.
func (m Model) Results() (Results, error) {
	c := &calc{Model: m}
	r := Results{Roles: c.roles()}
	for _, role := range r.Roles {
		r.add(role)
	}
	for _, role := range r.Roles {
		if role.Plane == Control && role.BusiestNode != "" {
			r.Worst = append(r.Worst, Duty{Role: role.Name, Cost: r.Average.Plus(role.Average.Times(-1)).Plus(role.Busiest)})
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
		r.Data = r.Data.Plus(role.Average)
		return
	}
	r.Average = r.Average.Plus(role.Average)
	r.Mitigated = r.Mitigated.Plus(role.Mitigated)
}

func (c *calc) roles() []Role {
	roles := []Role{
		c.requests(), c.proxying(), c.decisions(),
		c.process(), c.idleTimers(), c.connections(), c.metrics(), c.addresses(), c.loadReports(),
		c.vmList(), c.configReading(), c.configTree(), c.administration(), c.rollouts(),
		c.limits(), c.summaries(), c.suspects(), c.claims(), c.bills(), c.billSettling(),
	}
	for i := range roles {
		if roles[i].BusiestNode == "" {
			roles[i].Busiest = roles[i].Average
		}
		if roles[i].Mitigated == (Cost{}) {
			roles[i].Mitigated = roles[i].Average
		}
	}
	return roles
}
