// Package admin stores the configuration in the platform's table and serves the administration API
// over it. Changes are compare-and-set operations on revisions.
//
// [Store] orders changes by one row, the head. Each change is one transaction with two conditions:
// the head is still the revision that the change was made from, and no change with the same id has
// been applied. Of two concurrent changes one is accepted and the other gets a conflict. A change
// that is sent again after its answer was lost is applied once.
//
// [Server] is the HTTP interface. It accepts operators' keys only.
package admin
