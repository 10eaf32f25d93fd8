package fleet

import (
	"slices"
	"time"
)

// Exclusion is why an upstream may not take an attempt now.
type Exclusion uint8

// The reasons in the order in which they are checked; an upstream counts under its first one.
const (
	NotExcluded Exclusion = iota
	// OtherRegion, OtherVersion and OtherModel do not meet the attempt's requirements.
	OtherRegion
	OtherVersion
	OtherModel
	// Evacuated is in an evacuated failure domain.
	Evacuated
	// Draining leaves by the table, Leaving by its own responses.
	Draining
	Leaving
	// Replaced has a successor at its address; Gone is listed again only by a restored table.
	Replaced
	Gone
	// Ejected could not be reached, BackedOff asked for a pause.
	Ejected
	BackedOff
	// Tried was sent the request before.
	Tried
	// RateBound has no token for this node, NoRoom no place for it at a brittle upstream.
	RateBound
	NoRoom
	// OutsidePart is beyond the part of a version's upstreams that a trial uses.
	OutsidePart
	// NotSampled may take the attempt but was not compared.
	NotSampled
)

var exclusionNames = [...]string{
	"", "other_region", "other_version", "other_model", "evacuated", "draining", "leaving", "replaced", "gone", "ejected", "backed_off",
	"tried", "rate_bound", "no_room", "outside_part", "not_sampled",
}

// String returns the name of the reason; empty for none.
func (e Exclusion) String() string { return exclusionNames[e] }

// exclusion returns why u may not take the attempt now.
func (f *Fleet) exclusion(u *Upstream, spec *AttemptSpec, now time.Time) Exclusion {
	f.examined++
	if e := f.mismatch(u, spec); e != NotExcluded {
		return e
	}
	if e := f.unusable(u, now); e != NotExcluded {
		return e
	}
	switch {
	case slices.Contains(spec.Tried, u.ID):
		return Tried
	case !f.withinRate(u, now):
		return RateBound
	case !f.hasRoom(u, now):
		return NoRoom
	}
	return NotExcluded
}

// mismatch returns which of the spec's requirements u does not meet.
func (f *Fleet) mismatch(u *Upstream, spec *AttemptSpec) Exclusion {
	switch {
	case spec.Regions != nil && !slices.Contains(spec.Regions, f.settings.Regions[u.Domain]):
		return OtherRegion
	case spec.Version != "" && u.Version != spec.Version, slices.Contains(spec.ExcludedVersions, u.Version):
		return OtherVersion
	case spec.Model != "" && len(u.Models) > 0 && !slices.Contains(u.Models, spec.Model):
		return OtherModel
	}
	return NotExcluded
}

// unusable returns why no new work may be sent to u now.
func (f *Fleet) unusable(u *Upstream, now time.Time) Exclusion {
	if f.evacuated[u.Domain] {
		return Evacuated
	}
	return u.unready(now)
}

// unready returns why u takes no new work now, apart from its rate bounds.
func (u *Upstream) unready(now time.Time) Exclusion {
	switch {
	case u.isLeaving():
		if u.Draining || u.hasLeft {
			return Draining
		}
		return Leaving
	case u.replaced:
		return Replaced
	case now.Before(u.goneUntil):
		return Gone
	case now.Before(u.ejectedUntil):
		return Ejected
	case now.Before(u.backoffUntil()):
		return BackedOff
	}
	return NotExcluded
}
