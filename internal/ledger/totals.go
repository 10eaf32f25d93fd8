package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// totals sums bills by organisation.
type totals struct{ byOrg map[string]Total }

func newTotals() *totals { return &totals{byOrg: map[string]Total{}} }

func (t *totals) add(bills []Bill) {
	for i := range bills {
		t.addTotal(totalOf(&bills[i]))
	}
}

// subtract subtracts bills that were added before.
func (t *totals) subtract(bills []Bill) {
	for i := range bills {
		one := totalOf(&bills[i])
		t.addTotal(Total{Org: one.Org, Bills: -one.Bills, Cost: -one.Cost, InputTokens: -one.InputTokens, OutputTokens: -one.OutputTokens})
	}
}

func totalOf(b *Bill) Total {
	return Total{Org: b.Org, Bills: 1, Cost: b.Cost, InputTokens: b.InputTokens, OutputTokens: b.OutputTokens}
}

func (t *totals) addTotal(one Total) {
	sum := t.byOrg[one.Org]
	sum.Org = one.Org
	sum.Bills += one.Bills
	sum.Cost += one.Cost
	sum.InputTokens += one.InputTokens
	sum.OutputTokens += one.OutputTokens
	t.byOrg[one.Org] = sum
}

func (t *totals) list() []Total {
	return slices.SortedFunc(maps.Values(t.byOrg), func(a, b Total) int { return cmp.Compare(a.Org, b.Org) })
}
