package route

import (
	"iter"
	"maps"
	"strings"
)

// Table is one version of the configuration, whole and immutable.
type Table struct {
	// Version grows with each change.
	Version int64
	Limits  Limits
	// Keyed tells whether requests need an organisation's key at all.
	Keyed bool
	// Unsound names fields that count for nothing because they make no sense.
	Unsound []string

	byHost   map[string]*hostRoutes
	services map[string]*Service
	byKey    map[string]*Organisation
	byText   map[uint64]*Route
}

// New builds a table. Where two routes of a host have the same prefix, the first
// counts.
func New(version int64, limits Limits, routes []*Route, services []Service, orgs []Organisation) *Table {
	t := &Table{
		Version: version, Limits: limits, Keyed: len(orgs) > 0,
		byHost:   map[string]*hostRoutes{},
		services: map[string]*Service{},
		byKey:    map[string]*Organisation{},
		byText:   make(map[uint64]*Route, len(routes)),
	}
	for _, r := range routes {
		if r.Text != 0 {
			t.byText[r.Text] = r
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
		for _, key := range orgs[i].Keys {
			t.byKey[key] = &orgs[i]
		}
	}
	return t
}

// Match returns the route of a host and a raw path, or nil.
func (t *Table) Match(host, path string) *Route {
	h := t.byHost[canonicalHost(host)]
	if h == nil {
		return nil
	}
	return h.match(path)
}

// Regions returns the regions to which routes of a host bind their requests; none where no
// route does.
func (t *Table) Regions(host string) []string {
	h := t.byHost[canonicalHost(host)]
	if h == nil {
		return nil
	}
	return h.regions
}

// Read returns the route that was read from a text with a digest, or nil.
func (t *Table) Read(text uint64) *Route {
	if t == nil || text == 0 {
		return nil
	}
	return t.byText[text]
}

// Services returns all services, in no order.
func (t *Table) Services() iter.Seq[*Service] { return maps.Values(t.services) }

// Service returns the service of a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Holder returns the organisation that holds the key, or nil.
func (t *Table) Holder(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// canonicalHost drops the port and the case of a Host header.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
