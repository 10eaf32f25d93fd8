package bill

import (
	"fmt"
	"time"
)

// AtRisk reports whether a further bill would probably not become safe in time: a bill in
// memory is neither stored nor held, both stores fail, and too few peers took a copy. It turns
// true before such a bill is reported as [Unsafe], and false once every bill is stored or
// held: rows in memory are tried again until they are.
func (c *Collector) AtRisk(now time.Time) bool {
	failing := c.storesFail(now)
	for _, b := range c.batches {
		lacksCopies := b.copies != notAsked && b.copies < c.settings.Copies
		if !b.held && (b.gaveUp || failing && lacksCopies) {
			return true
		}
	}
	return false
}

// storesFail reports whether neither store can be expected to take a row before its bills are
// reported as unsafe.
func (c *Collector) storesFail(now time.Time) bool {
	limit := c.settings.GiveUp / 2
	return c.table.fails(now, limit) && c.objects.fails(now, limit)
}

// describe describes what became of a batch's calls, for logs.
func (c *Collector) describe(now time.Time, b *batch) string {
	return fmt.Sprintf("table %s, objects %s, %s after %v", b.table.describe(&c.table, now), b.objects.describe(&c.objects, now),
		b.describeHold(c.settings.Copies), now.Sub(b.createdAt).Round(time.Millisecond))
}

// describe describes the last call of a batch to a store.
func (o *callState) describe(h *storeHealth, now time.Time) string {
	switch {
	case o.inFlight:
		return fmt.Sprintf("unanswered for %v", now.Sub(o.sent).Round(time.Millisecond))
	case o.nextTry.IsZero():
		return "not tried"
	default:
		return fmt.Sprintf("failed (%d failures in a row)", h.failures)
	}
}

func (b *batch) describeHold(needed int) string {
	switch {
	case b.copies != notAsked:
		return fmt.Sprintf("%d of %d copies at peers", b.copies, needed)
	case b.hold.inFlight:
		return "peers asked for copies"
	default:
		return "no peer asked for a copy"
	}
}
