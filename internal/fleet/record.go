package fleet

import (
	"strconv"
	"strings"
	"time"
)

// Record is an upstream's entry in the platform's table.
type Record struct {
	// ID identifies the upstream. It may restart under the same ID.
	ID string
	// Born is the start time of this incarnation in Unix milliseconds; 0 if it is unknown.
	// Another value under the same ID is another incarnation.
	Born int64
	// Service is the name of the service that the upstream serves.
	Service string
	// Addr is the upstream's IP and port. Another service may reuse the address later.
	Addr string
	// Domain is the upstream's failure domain.
	Domain string
	// Version is the version of its software or weights.
	Version string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining is set if the upstream takes no new work.
	Draining bool
	// Cold is the remaining time of the warm-up; 0 once it is over.
	Cold time.Duration
	// Models are the models that its engine has loaded; empty for plain services.
	Models []string
}

// Incarnation identifies the incarnation among all upstreams: ID and start time.
func (r *Record) Incarnation() string { return r.ID + "@" + strconv.FormatInt(r.Born, 10) }

// byIncarnation returns the upstream of an incarnation, or nil if it is not known.
func (f *Fleet) byIncarnation(incarnation string) *Upstream {
	at := strings.LastIndexByte(incarnation, '@')
	if at < 0 {
		return nil
	}
	if u := f.byID[incarnation[:at]]; u != nil && u.Incarnation() == incarnation {
		return u
	}
	return nil
}

// sameRouting reports whether two records are equal in all fields that routing uses.
func (r *Record) sameRouting(other *Record) bool {
	if r.ID != other.ID || r.Born != other.Born || r.Service != other.Service || r.Addr != other.Addr || r.Domain != other.Domain ||
		r.Cold > 0 != (other.Cold > 0) || r.Version != other.Version || r.Slots != other.Slots || r.Draining != other.Draining || len(r.Models) != len(other.Models) {
		return false
	}
	for i := range r.Models {
		if r.Models[i] != other.Models[i] {
			return false
		}
	}
	return true
}
