package bill

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Merge removes duplicate bills and sorts the rest by [Compare]. Of several bills with
// the same key and digest it keeps the first one by Compare, so that all readers of the
// same rows get the same bills. Bills with an opaque key are duplicates only if at most
// the window lies between one and the next, because callers may use such a key again
// later for other work.
//
// A bill without a digest is dropped if there is one with the same key and a digest: it
// was written by an older node that did not support digests.
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

// Distinct removes bills that are equal in all fields and sorts the rest by [Compare].
// Other duplicates are left to Merge, since they may depend on bills in other rows.
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

// appendOnce appends the bills of one key that are not duplicates. Bills without a
// digest must come first.
func appendOnce(merged, bills []Bill, window time.Duration) []Bill {
	plain := 0
	for plain < len(bills) && bills[plain].Digest == 0 {
		plain++
	}
	for i := range bills {
		repeated := i > 0 && isRepeat(&bills[i-1], &bills[i], window)
		if repeated || (i < plain && isSuperseded(&bills[i], bills[plain:], window)) {
			continue
		}
		merged = append(merged, bills[i])
	}
	return merged
}

func isRepeat(before, b *Bill, window time.Duration) bool {
	return before.Digest == b.Digest && near(before, b, window)
}

func isSuperseded(plain *Bill, digested []Bill, window time.Duration) bool {
	return slices.ContainsFunc(digested, func(b Bill) bool { return near(plain, &b, window) })
}

// near reports whether two bills with one key are close enough in time to be duplicates.
// Bills with a timed key always are.
func near(a, b *Bill, window time.Duration) bool {
	if _, ok := key.Time(b.Key); ok {
		return true
	}
	return b.At.Sub(a.At).Abs() <= window
}

// Compare orders bills by time of completion, then by all other fields. It returns 0
// only for bills that are equal in all fields.
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
