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
	c.order = slices.DeleteFunc(c.order, func(o *domainShare) bool {
		_, ok := c.limits[o.org]
		if !ok {
			delete(c.orgs, o.org)
		}
		return !ok
	})
}

// SetNodes sets the IDs of all live entry nodes, from which the holders are chosen.
func (c *RateCollector) SetNodes(ids []string) {
	c.nodes = slices.Clone(ids)
	for _, o := range c.order {
		o.holder = ""
	}
}

// Collect processes a node's summary and returns its parts of the domain's shares.
func (c *RateCollector) Collect(s Summary, now time.Time) Grant {
	t := c.since(now)
	g := Grant{From: c.settings.Self, Seq: s.Seq, Valid: c.settings.GrantFor}
	for _, d := range s.Demands {
		limit, ok := c.limits[d.Org]
		if !ok {
			continue
		}
		share, ok := c.org(d.Org).grantNode(s, d, limit*(1-c.settings.Reserve), lease{now: t, grantFor: c.settings.GrantFor})
		if ok {
			g.Shares = append(g.Shares, share)
		}
	}
	return g
}

func (c *RateCollector) org(name string) *domainShare {
	o := c.orgs[name]
	if o == nil {
		o = &domainShare{org: name, allocation: allocation{createdAt: longAgo, nodes: map[string]*nodeShare{}}}
		c.orgs[name] = o
		c.order = append(c.order, o)
	}
	return o
}

// Summaries returns the messages that are due, one for each holder. Call it a few times
// per second. Each message is answered by a [Grant].
func (c *RateCollector) Summaries(now time.Time) []Summary {
	t := c.since(now)
	c.dropExpired(t)
	var out []Summary
	for _, o := range c.order {
		if !o.reportDue(t, c.settings) {
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
		c.inFlight = append(c.inFlight, sentSummary{seq: c.seq, sentAt: t})
	}
	return out
}

func (c *RateCollector) dropExpired(now time.Duration) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(s sentSummary) bool { return now > s.sentAt+c.settings.GrantFor })
	c.order = slices.DeleteFunc(c.order, func(o *domainShare) bool {
		o.allocation.dropExpired(now)
		gone := len(o.allocation.nodes) == 0 && now >= o.expiresAt
		if gone {
			delete(c.orgs, o.org)
		}
		return gone
	})
}

// Granted processes a holder's answer. As at a node, a grant is valid from the sending of
// its summary, and grants older than the one held are ignored.
func (c *RateCollector) Granted(g Grant) {
	i := slices.IndexFunc(c.inFlight, func(s sentSummary) bool { return s.seq == g.Seq })
	if i < 0 {
		return
	}
	for _, share := range g.Shares {
		if o := c.orgs[share.Org]; o != nil && g.Seq > o.seq {
			o.setGrant(share.PerSecond, g.Seq, c.inFlight[i].sentAt+share.validFor(g))
		}
	}
}
