// Package evacuation keeps the operators' evacuation orders for failure domains. The
// upstreams of an evacuated domain get no new work until the order ends. It does no I/O.
//
// Each domain is a last-writer-wins register ordered by the table's revision. Nodes
// therefore converge whatever the order of updates, and a delayed begin cannot undo the end
// of an order.
package evacuation
