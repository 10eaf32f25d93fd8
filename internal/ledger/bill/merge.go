package bill

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Merge returns each bill once, in order. Of several bills with one key and
// digest the first by [Compare] counts, so that everybody who reads the same rows
// reads the same bills. Bills of opaque keys are only the same if no more than
// the window lies between one and the next: such a key may come again later for
// other work.
//
// A bill without a digest is that of a node that did not know digests yet, if
// there is one with a digest beside it, and counts no more.
func Merge(bills []Bill, window time.Duration) []Bill {
	slices.SortFunc(bills, byKey)
	var merged []Bill
	for len(bills) > 0 {
		n := 1
		for n < len(bills) && sameKey(&bills[0], &bills[n]) {
			n++
		}
		merged = appendOnce(merged, bills[:n], window)
		bills = bills[n:]
	}
	slices.SortFunc(merged, Compare)
	return merged
}

// Distinct returns the bills without those that are equal in all, in order. It
// leaves to Merge what may depend on bills that are not here.
func Distinct(bills []Bill) []Bill {
	slices.SortFunc(bills, Compare)
	return slices.CompactFunc(bills, func(a, b Bill) bool { return Compare(a, b) == 0 })
}

func byKey(a, b Bill) int {
	return cmp.Or(
		strings.Compare(a.Org, b.Org), strings.Compare(a.Key, b.Key), strings.Compare(a.Service, b.Service),
		cmp.Compare(a.Digest, b.Digest), Compare(a, b),
	)
}

func sameKey(a, b *Bill) bool { return a.Org == b.Org && a.Key == b.Key && a.Service == b.Service }

// appendOnce appends the bills of one key that count. Those without a digest
// come first.
func appendOnce(merged, bills []Bill, window time.Duration) []Bill {
	plain := 0
	for plain < len(bills) && bills[plain].Digest == 0 {
		plain++
	}
	for i := range bills {
		repeated := i > 0 && repeats(&bills[i-1], &bills[i], window)
		if repeated || (i < plain && overruled(&bills[i], bills[plain:], window)) {
			continue
		}
		merged = append(merged, bills[i])
	}
	return merged
}

func repeats(before, b *Bill, window time.Duration) bool {
	return before.Digest == b.Digest && near(before, b, window)
}

func overruled(plain *Bill, digested []Bill, window time.Duration) bool {
	return slices.ContainsFunc(digested, func(b Bill) bool { return near(plain, &b, window) })
}

// near says whether two bills with one key are not too far apart to be the same.
func near(a, b *Bill, window time.Duration) bool {
	if _, ok := key.Time(b.Key); ok {
		return true
	}
	return b.At.Sub(a.At).Abs() <= window
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
		cmp.Compare(a.Digest, b.Digest),
	)
}
