package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// totals adds up bills by organisation.
type totals struct{ byOrg map[string]Total }

func newTotals() *totals { return &totals{byOrg: map[string]Total{}} }

func (t *totals) add(bills []Bill) {
	for i := range bills {
		b := &bills[i]
		sum := t.byOrg[b.Org]
		sum.Org = b.Org
		sum.Bills++
		sum.Cost += b.Cost
		sum.InputTokens += b.InputTokens
		sum.OutputTokens += b.OutputTokens
		t.byOrg[b.Org] = sum
	}
}

func (t *totals) list() []Total {
	return slices.SortedFunc(maps.Values(t.byOrg), func(a, b Total) int { return cmp.Compare(a.Org, b.Org) })
}
