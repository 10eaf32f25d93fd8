package bill

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Merge returns each bill once, in order. Of several bills with one key the
// first by [Compare] counts, so that everybody who reads the same rows reads
// the same bills. Bills of opaque keys are only the same if no more than the
// window lies between one and the next: such a key may come again later for
// other work.
func Merge(bills []Bill, window time.Duration) []Bill {
	slices.SortFunc(bills, byKey)
	var merged []Bill
	for i := range bills {
		if i > 0 && repeats(&bills[i-1], &bills[i], window) {
			continue
		}
		merged = append(merged, bills[i])
	}
	slices.SortFunc(merged, Compare)
	return merged
}

func byKey(a, b Bill) int {
	return cmp.Or(strings.Compare(a.Org, b.Org), strings.Compare(a.Key, b.Key), Compare(a, b))
}

func repeats(before, b *Bill, window time.Duration) bool {
	if before.Org != b.Org || before.Key != b.Key {
		return false
	}
	if _, ok := key.Time(b.Key); ok {
		return true
	}
	return b.At.Sub(before.At) <= window
}

// Compare is the order of bills: by completion, then by all other fields, so
// that only equal bills compare as equal.
func Compare(a, b Bill) int {
	return cmp.Or(
		a.At.Compare(b.At),
		strings.Compare(a.Org, b.Org),
		strings.Compare(a.Key, b.Key),
		cmp.Compare(a.Cost, b.Cost),
		strings.Compare(a.Version, b.Version),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Class, b.Class),
		cmp.Compare(a.InputTokens, b.InputTokens),
		cmp.Compare(a.OutputTokens, b.OutputTokens),
	)
}
