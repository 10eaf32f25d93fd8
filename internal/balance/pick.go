package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Pick is the answer to a [Request]. When no upstream was found only Shortage
// is set.
type Pick struct {
	VM       platform.VM
	Token    Token
	Shortage Shortage
}

// Token stands for one attempt in flight. Each token is given to
// [Balancer.Done] once; a second time does nothing.
type Token struct {
	slot       uint32
	generation uint32
}

// Shortage says why there is no upstream for a request.
type Shortage struct {
	Reason ShortageReason
	// RetryAfter is when an upstream may be there again.
	RetryAfter time.Duration
}

// ShortageReason is the cause of a shortage.
type ShortageReason string

// The reasons of a shortage.
const (
	// NoneKnown: no upstream known here has the version or offers the service.
	NoneKnown ShortageReason = "none known"
	// AllLeaving: those that have it take no new work.
	AllLeaving ShortageReason = "all leaving"
	// AllFailing: the breakers of all that have it are open.
	AllFailing ShortageReason = "all failing"
	// AllPaced: those that have it take no more requests for now, by their own word.
	AllPaced ShortageReason = "all paced"
	// AllTried: all that have it were excluded.
	AllTried ShortageReason = "all tried"
)
