package fleet

import (
	"strconv"
	"strings"
	"time"
)

// RecordColumns is the form in which nodes transfer records of records, field by field. Fields with few distinct
// values are stored once for all records that share them.
type RecordColumns struct {
	IDs, Addrs []string
	Born       []int64
	Cold       []time.Duration
	Draining   []bool
	Profiles   []recordProfile
	// ProfileOf is the index of each record's profile.
	ProfileOf []uint32
}

// recordProfile holds the fields that many records share.
type recordProfile struct {
	Service, Domain, Version string
	Slots                    int
	Models                   []string
}

func NewRecordColumns(records []Record) RecordColumns {
	c := RecordColumns{
		IDs: make([]string, len(records)), Addrs: make([]string, len(records)), Born: make([]int64, len(records)),
		Cold: make([]time.Duration, len(records)), Draining: make([]bool, len(records)), ProfileOf: make([]uint32, len(records)),
	}
	known := map[string]uint32{}
	for i, r := range records {
		c.IDs[i], c.Addrs[i], c.Born[i], c.Cold[i], c.Draining[i] = r.ID, r.Addr, r.Born, r.Cold, r.Draining
		key := r.profileKey()
		index, ok := known[key]
		if !ok {
			index = uint32(len(c.Profiles))
			known[key] = index
			c.Profiles = append(c.Profiles, recordProfile{r.Service, r.Domain, r.Version, r.Slots, r.Models})
		}
		c.ProfileOf[i] = index
	}
	return c
}

// profileKey identifies the record's profile.
func (r *Record) profileKey() string {
	return strings.Join(append([]string{r.Service, r.Domain, r.Version, strconv.Itoa(r.Slots)}, r.Models...), "\x00")
}

// Len returns the number of records.
func (c *RecordColumns) Len() int { return len(c.IDs) }

// Records returns the records. ok is false if the columns differ in length or a profile is
// missing, as in data that was not encoded by this package.
func (c *RecordColumns) Records() (all []Record, ok bool) {
	n := len(c.IDs)
	if len(c.Addrs) != n || len(c.Born) != n || len(c.Cold) != n || len(c.Draining) != n || len(c.ProfileOf) != n {
		return nil, false
	}
	all = make([]Record, n)
	for i := range all {
		if int(c.ProfileOf[i]) >= len(c.Profiles) {
			return nil, false
		}
		p := &c.Profiles[c.ProfileOf[i]]
		all[i] = Record{
			ID: c.IDs[i], Born: c.Born[i], Service: p.Service, Addr: c.Addrs[i], Domain: p.Domain, Version: p.Version,
			Slots: p.Slots, Draining: c.Draining[i], Cold: c.Cold[i], Models: p.Models,
		}
	}
	return all, true
}
