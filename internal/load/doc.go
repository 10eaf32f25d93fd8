// Package load sends open-loop load to a deployment and reports latency, outcomes and
// cost.
//
// Requests start at the times of a seeded schedule, whether or not earlier ones have
// ended. Latency counts from the scheduled time, so a stall of the system appears in
// full (no coordinated omission). Each answer is checked: it must be complete and
// belong to its request. With two lanes, one run sends the same mix through the router
// and directly to the upstreams, so that the overhead is a ratio.
package load
