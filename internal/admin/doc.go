// Package admin is the operators' side: the stored configuration and its
// versioned administration API with compare-and-set revisions.
//
// [Store] keeps the configuration in the platform's table. One row, the head,
// decides the order: each change is one transaction on condition that the head
// is still the revision that the change was made from, and that no change of
// the same id was applied. So of two operators who race one wins, and a change
// that is sent again after its answer was lost is applied once.
//
// [Server] is the HTTP interface over it. It opens to operators' keys only.
package admin
