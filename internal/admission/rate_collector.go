package admission

import (
	"slices"
	"strconv"
	"time"
)

// heardFor is how long a node's demand counts in its domain's sum: two periods
// and a lost message. A node that went over to another collector counts at both
// for that long, which costs use of the limit and never exceeds it.
const heardFor = 6 * time.Second

// RateCollector adds up the demand of a failure domain's nodes, asks the
// organisations' holders for the domain's shares and divides these.
//
// It gives away only what a holder granted to it, and no longer than that
// counts; so two collectors of one domain, or one that is paused, exceed
// nothing. After a restart it has another name to the holders (From), since it
// no longer knows what it gave away: what its former self was granted counts
// until it runs out. When a share was lowered, the holder hears how much
// the nodes still hold of the earlier one, and gives only the rest to others.
type RateCollector struct {
	settings RateSettings
	from     string
	base     time.Time
	nodes    []string
	limits   map[string]float64
	orgs     map[string]*collected
	order    []*collected
	seq      uint64
	inFlight []sentSummary
}

// NewRateCollector returns a collector that knows no node.
func NewRateCollector(s RateSettings) *RateCollector {
	return &RateCollector{settings: s.withDefaults(), limits: map[string]float64{}, orgs: map[string]*collected{}}
}

func (c *RateCollector) since(now time.Time) time.Duration {
	if c.base.IsZero() {
		c.base = now
		c.seq = uint64(now.UnixNano())
		c.from = c.settings.Self + "#" + strconv.FormatUint(c.seq, 36)
	}
	return now.Sub(c.base)
}

// SetLimits takes the limits in force.
func (c *RateCollector) SetLimits(limits []Limit, now time.Time) {
	c.since(now)
	clear(c.limits)
	for _, l := range limits {
		c.limits[l.Org] = l.PerSecond
	}
	c.order = slices.DeleteFunc(c.order, func(o *collected) bool {
		_, ok := c.limits[o.org]
		if !ok {
			delete(c.orgs, o.org)
		}
		return !ok
	})
}

// SetNodes takes the IDs of all live entry nodes, among which are the holders.
func (c *RateCollector) SetNodes(ids []string) {
	c.nodes = slices.Clone(ids)
	for _, o := range c.order {
		o.holder = ""
	}
}

// Collect takes a node's summary and returns its parts of the domain's shares.
func (c *RateCollector) Collect(s Summary, now time.Time) Grant {
	t := c.since(now)
	g := Grant{From: c.settings.Self, Seq: s.Seq, Valid: c.settings.GrantFor}
	for _, d := range s.Demands {
		limit, ok := c.limits[d.Org]
		if !ok {
			continue
		}
		share, ok := c.org(d.Org).divide(s, d, limit*(1-c.settings.Reserve), term{now: t, grantFor: c.settings.GrantFor})
		if ok {
			g.Shares = append(g.Shares, share)
		}
	}
	return g
}

func (c *RateCollector) org(name string) *collected {
	o := c.orgs[name]
	if o == nil {
		o = &collected{org: name, book: book{since: neverNew, lines: map[string]*line{}}}
		c.orgs[name] = o
		c.order = append(c.order, o)
	}
	return o
}

// Summaries returns the messages due now, one for each holder; call it a few
// times a second. Each is answered by a [Grant].
func (c *RateCollector) Summaries(now time.Time) []Summary {
	t := c.since(now)
	c.forget(t)
	var out []Summary
	for _, o := range c.order {
		if !o.due(t, c.settings) {
			continue
		}
		to := o.holderOf(c.nodes)
		i := slices.IndexFunc(out, func(m Summary) bool { return m.To == to })
		if i < 0 {
			i = len(out)
			out = append(out, Summary{From: c.from, To: to, Seq: c.seq + 1})
		}
		out[i].Demands = append(out[i].Demands, o.report(c.seq+1, t))
	}
	if out != nil {
		c.seq++
		c.inFlight = append(c.inFlight, sentSummary{seq: c.seq, at: t})
	}
	return out
}

func (c *RateCollector) forget(now time.Duration) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(s sentSummary) bool { return now > s.at+c.settings.GrantFor })
	c.order = slices.DeleteFunc(c.order, func(o *collected) bool {
		o.book.forget(now)
		gone := len(o.book.lines) == 0 && now >= o.until
		if gone {
			delete(c.orgs, o.org)
		}
		return gone
	})
}

// Granted takes a holder's answer. As at a node, it counts from the sending of
// its summary, and one older than the one held is passed over.
func (c *RateCollector) Granted(g Grant) {
	i := slices.IndexFunc(c.inFlight, func(s sentSummary) bool { return s.seq == g.Seq })
	if i < 0 {
		return
	}
	for _, share := range g.Shares {
		if o := c.orgs[share.Org]; o != nil && g.Seq > o.seq {
			o.grant(share.PerSecond, g.Seq, c.inFlight[i].at+share.validFor(g))
		}
	}
}
