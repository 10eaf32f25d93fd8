// Package evacuation keeps which failure domains operators have ordered to be
// evacuated: their upstreams get no new work until the order ends.
//
// It is a core without I/O. Each order is a register of its domain in which the
// greatest revision of the table wins, so that nodes agree whatever the order in
// which they hear of changes, and the end of an order can't be undone by a late word
// of its begin.
package evacuation
