// Package load sends open-loop load and reports what became of it.
//
// Requests start at the times that a seeded schedule gives, whether or not
// earlier ones have ended, and latency counts from the scheduled time; so a
// stall of the system under load shows in full (no coordinated omission).
// Each answer is checked to be whole and its own. With two lanes, the same mix
// of work goes through the router and to the upstreams alone in one run, so
// that overhead is a ratio.
package load
