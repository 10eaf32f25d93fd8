package fleet

import (
	"strconv"
	"time"
)

// Record is what an upstream says of itself in the table.
type Record struct {
	// ID names the upstream; it may start again under the same one.
	ID string
	// Born is when this start began, in Unix milliseconds; 0 where it is not
	// told. Another value under the same ID is another start.
	Born int64
	// Service is what it offers.
	Service string
	// Addr is its IP and port; an address may be used again by another service.
	Addr   string
	Domain string
	// Version is the version of its software or weights.
	Version string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining upstreams take no new work.
	Draining bool
	// Cold is how much longer it warms up; 0 once it is warm.
	Cold time.Duration
	// Models are those that its engine has loaded; empty for plain services.
	Models []string
}

// Start names this start of the upstream among all.
func (r *Record) Start() string { return r.ID + "@" + strconv.FormatInt(r.Born, 10) }

// same tells whether two records differ in nothing that routing uses.
func (r *Record) same(o *Record) bool {
	if r.ID != o.ID || r.Born != o.Born || r.Service != o.Service || r.Addr != o.Addr || r.Domain != o.Domain ||
		r.Cold > 0 != (o.Cold > 0) || r.Version != o.Version || r.Slots != o.Slots || r.Draining != o.Draining || len(r.Models) != len(o.Models) {
		return false
	}
	for i := range r.Models {
		if r.Models[i] != o.Models[i] {
			return false
		}
	}
	return true
}
