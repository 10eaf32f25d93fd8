package route

import (
	"iter"
	"maps"
	"strings"
)

// Table is one complete, immutable version of the configuration.
type Table struct {
	// Version increases with each change.
	Version int64
	Limits  Limits
	// Keyed reports whether requests need an organisation's key; false without
	// organisations.
	Keyed bool
	// Ranked reports whether a route or an organisation states a priority.
	Ranked bool
	// Unsound describes the fields that are ignored because their values are invalid.
	Unsound []string

	byHost         map[string]*hostRoutes
	services       map[string]*Service
	byKey          map[string]*Organisation
	bySourceDigest map[uint64]*Route
}

// New builds a table. Where two routes of a host have the same prefix, the first
// one is used.
func New(version int64, limits Limits, routes []*Route, services []Service, orgs []Organisation) *Table {
	t := &Table{
		Version: version, Limits: limits, Keyed: len(orgs) > 0,
		byHost:         map[string]*hostRoutes{},
		services:       map[string]*Service{},
		byKey:          map[string]*Organisation{},
		bySourceDigest: make(map[uint64]*Route, len(routes)),
	}
	for _, r := range routes {
		t.Ranked = t.Ranked || r.Priority != 0
		if r.SourceDigest != 0 {
			t.bySourceDigest[r.SourceDigest] = r
		}
		host := canonicalHost(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = &hostRoutes{byPrefix: map[string]*Route{}}
		}
		t.byHost[host].add(r)
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range orgs {
		t.Ranked = t.Ranked || orgs[i].HasPriority
		for _, key := range orgs[i].Keys {
			t.byKey[key] = &orgs[i]
		}
	}
	return t
}

// Match returns the route with the longest matching prefix for a Host header and a raw
// path, or nil.
func (t *Table) Match(host, path string) *Route {
	h := t.byHost[canonicalHost(host)]
	if h == nil {
		return nil
	}
	return h.match(path)
}

// Regions returns the union of the regions to which routes of a host are restricted; nil
// where no route is.
func (t *Table) Regions(host string) []string {
	h := t.byHost[canonicalHost(host)]
	if h == nil {
		return nil
	}
	return h.regions
}

// RouteByDigest returns the route that was decoded from a text with this digest, or nil. It may
// be called on a nil table.
func (t *Table) RouteByDigest(text uint64) *Route {
	if t == nil || text == 0 {
		return nil
	}
	return t.bySourceDigest[text]
}

// Services returns all services in unspecified order.
func (t *Table) Services() iter.Seq[*Service] { return maps.Values(t.services) }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// OrganisationByKey returns the organisation to which an API key belongs, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// OrganisationByName returns the organisation with a name and a key, or nil. Its cost grows with
// the number of keys.
func (t *Table) OrganisationByName(name string) *Organisation {
	for _, o := range t.byKey {
		if o.Name == name {
			return o
		}
	}
	return nil
}

// canonicalHost returns a Host header in lower case and without the port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
