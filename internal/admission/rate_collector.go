package admission

import (
	"slices"
	"strconv"
	"time"
)

// demandTTL is how long a node's demand counts in its domain's sum: two periods and a
// lost message. A node that moves to another collector counts at both for that long,
// which lowers the use of the limit but never exceeds it.
const demandTTL = 6 * time.Second

// RateCollector sums the demand of a failure domain's nodes, requests the domain's shares
// from the organisations' holders and divides them among the nodes.
//
// It grants only what a holder has granted to it, and no longer than that is valid. So
// two collectors of one domain, or a paused one, exceed no limit. After a restart it does
// not know what it has granted, so it uses a new name towards the holders (From), and the
// grants to the previous process count until they expire. When a share is lowered, the
// holder is sent how much the nodes still hold of the previous one, and grants only the
// rest to others.
type RateCollector struct {
	settings RateSettings
	from     string
	base     time.Time
	nodes    []string
	limits   map[string]float64
	orgs     map[string]*domainShare
	order    []*domainShare
	seq      uint64
	inFlight []sentSummary
}

// NewRateCollector returns a collector without limits and nodes. Zero fields of s take
// their defaults.
func NewRateCollector(s RateSettings) *RateCollector {
	return &RateCollector{settings: s.withDefaults(), limits: map[string]float64{}, orgs: map[string]*domainShare{}}
}

// since converts a time to an offset from the base. The first call sets the base and
// starts seq at the current time; seq also makes the name of this process unique.
func (c *RateCollector) since(now time.Time) time.Duration {
	if c.base.IsZero() {
		c.base = now
		c.seq = uint64(now.UnixNano())
		c.from = c.settings.Self + "#" + strconv.FormatUint(c.seq, 36)
	}
	return now.Sub(c.base)
}

// SetLimits sets the limits in force. Organisations without a limit are dropped.
func (c *RateCollector) SetLimits(limits []Limit, now time.Time) {
	c.since(now)
	clear(c.limits)
	for _, l := range limits {
		c.limits[l.Org] = l.PerSecond
	}
	c.order = slices.DeleteFunc(c.order, func(d *domainShare) bool {
		_, ok := c.limits[d.org]
		if !ok {
			delete(c.orgs, d.org)
		}
		return !ok
	})
}

// SetNodes sets the IDs of all live entry nodes, from which the holders are chosen.
func (c *RateCollector) SetNodes(ids []string) {
	c.nodes = slices.Clone(ids)
	for _, d := range c.order {
		d.holder = ""
	}
}

// HandleSummary processes a node's summary and returns its parts of the domain's shares.
func (c *RateCollector) HandleSummary(s Summary, now time.Time) Grant {
	t := c.since(now)
	g := Grant{From: c.settings.Self, Seq: s.Seq, Valid: c.settings.GrantDuration}
	for _, d := range s.Demands {
		limit, ok := c.limits[d.Org]
		if !ok {
			continue
		}
		share, ok := c.org(d.Org).grantNode(s, d, limit*(1-c.settings.Reserve), lease{now: t, duration: c.settings.GrantDuration})
		if ok {
			g.Shares = append(g.Shares, share)
		}
	}
	return g
}

func (c *RateCollector) org(name string) *domainShare {
	d := c.orgs[name]
	if d == nil {
		d = &domainShare{org: name, allocation: allocation{createdAt: longAgo, nodes: map[string]*nodeShare{}}}
		c.orgs[name] = d
		c.order = append(c.order, d)
	}
	return d
}

// Summaries returns the messages that are due, one for each holder. Call it a few times
// per second. Each message is answered by a [Grant].
func (c *RateCollector) Summaries(now time.Time) []Summary {
	t := c.since(now)
	c.dropExpired(t)
	var summaries []Summary
	for _, d := range c.order {
		if !d.reportDue(t, c.settings) {
			continue
		}
		to := d.holderOf(c.nodes)
		i := slices.IndexFunc(summaries, func(m Summary) bool { return m.To == to })
		if i < 0 {
			i = len(summaries)
			summaries = append(summaries, Summary{From: c.from, To: to, Seq: c.seq + 1})
		}
		summaries[i].Demands = append(summaries[i].Demands, d.report(c.seq+1, t))
	}
	if summaries != nil {
		c.seq++
		c.inFlight = append(c.inFlight, sentSummary{seq: c.seq, sentAt: t})
	}
	return summaries
}

func (c *RateCollector) dropExpired(now time.Duration) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(s sentSummary) bool { return now > s.sentAt+c.settings.GrantDuration })
	c.order = slices.DeleteFunc(c.order, func(d *domainShare) bool {
		d.allocation.dropExpired(now)
		gone := len(d.allocation.nodes) == 0 && now >= d.expiresAt
		if gone {
			delete(c.orgs, d.org)
		}
		return gone
	})
}

// ApplyGrant processes a holder's answer. As at a node, a grant is valid from the sending of
// its summary, and grants older than the one held are ignored.
func (c *RateCollector) ApplyGrant(g Grant) {
	i := slices.IndexFunc(c.inFlight, func(s sentSummary) bool { return s.seq == g.Seq })
	if i < 0 {
		return
	}
	for _, share := range g.Shares {
		if d := c.orgs[share.Org]; d != nil && g.Seq > d.seq {
			d.setGrant(share.PerSecond, g.Seq, c.inFlight[i].sentAt+share.validFor(g))
		}
	}
}
