package fleet

import (
	"maps"
	"slices"
)

// serviceIndex holds the upstreams of a service in pools by version and model, so that the
// cost of a choice does not grow with the number of upstreams that can't serve it.
type serviceIndex struct {
	pools map[poolKey]*pool
	// anyModel is the number of upstreams that list no models and run any.
	anyModel int
	// rateBound are the upstreams that may have a rate bound; those whose bound has ended
	// are removed when the list is used.
	rateBound []*Upstream
}

// poolKey selects upstreams by version and model; an empty field selects all.
type poolKey struct{ version, model string }

func newServiceIndex() *serviceIndex { return &serviceIndex{pools: map[poolKey]*pool{}} }

// add adds an upstream to the pools of its version and models.
func (s *serviceIndex) add(u *Upstream) {
	for _, key := range poolKeys(&u.Record) {
		if s.pools[key] == nil {
			s.pools[key] = &pool{}
		}
		s.pools[key].add(u)
	}
	if len(u.Models) == 0 {
		s.anyModel++
	}
}

// remove removes an upstream from the pools of its version and models.
func (s *serviceIndex) remove(u *Upstream) {
	for _, key := range poolKeys(&u.Record) {
		p := s.pools[key]
		p.remove(u)
		if len(p.members) == 0 {
			delete(s.pools, key)
		}
	}
	if len(u.Models) == 0 {
		s.anyModel--
	}
	if u.inRateBound {
		u.inRateBound = false
		s.rateBound = slices.DeleteFunc(s.rateBound, func(other *Upstream) bool { return other == u })
	}
}

// poolKeys returns the keys of the pools that contain a record's upstream.
func poolKeys(r *Record) []poolKey {
	keys := make([]poolKey, 0, 2+2*len(r.Models))
	keys = append(keys, poolKey{}, poolKey{version: r.Version})
	for i, m := range r.Models {
		if !slices.Contains(r.Models[:i], m) {
			keys = append(keys, poolKey{model: m}, poolKey{version: r.Version, model: m})
		}
	}
	return keys
}

// all returns all upstreams of the service.
func (s *serviceIndex) all() []*Upstream { return s.ofVersion("") }

// ofVersion returns the upstreams of a version; of all versions if it is empty.
func (s *serviceIndex) ofVersion(version string) []*Upstream {
	if s == nil {
		return nil
	}
	return s.pools[poolKey{version: version}].sorted()
}

// poolFor returns the smallest pool that contains every upstream that matches the spec; nil
// if there is none.
func (s *serviceIndex) poolFor(spec *AttemptSpec) *pool {
	if s == nil {
		return nil
	}
	key := poolKey{version: spec.Version, model: spec.Model}
	if s.anyModel > 0 {
		key.model = ""
	}
	return s.pools[key]
}

// versions returns the distinct versions of the upstreams, sorted.
func (s *serviceIndex) versions() []string {
	if s == nil {
		return nil
	}
	var all []string
	for key := range maps.Keys(s.pools) {
		if key.version != "" && key.model == "" {
			all = append(all, key.version)
		}
	}
	slices.Sort(all)
	return all
}

// addRateBound records that an upstream may have a rate bound.
func (s *serviceIndex) addRateBound(u *Upstream) {
	if !u.inRateBound {
		u.inRateBound = true
		s.rateBound = append(s.rateBound, u)
	}
}
