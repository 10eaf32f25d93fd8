package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Pick is the answer to a [Request]. Without an upstream only Shortage is set.
type Pick struct {
	VM       platform.VM
	Token    Token
	Shortage Shortage
}

// Token identifies an attempt in flight. Each token is passed to [Balancer.Done] once;
// further calls have no effect.
type Token struct {
	index      uint32
	generation uint32
}

// Shortage describes why a request got no upstream.
type Shortage struct {
	Reason ShortageReason
	// RetryAfter is the time after which an upstream may be available again.
	RetryAfter time.Duration
}

// ShortageReason is the cause of a shortage.
type ShortageReason string

// The reasons of a shortage.
const (
	// NoneKnown: no known upstream has the version or provides the service.
	NoneKnown ShortageReason = "none known"
	// AllLeaving: all upstreams that have it are leaving and take no new work.
	AllLeaving ShortageReason = "all leaving"
	// AllFailing: the breakers of all upstreams that have it are open.
	AllFailing ShortageReason = "all failing"
	// AllPaced: the upstreams that have it requested a back-off or have reached the rate
	// limit that they advertised.
	AllPaced ShortageReason = "all paced"
	// AllTried: all usable upstreams that have it were excluded by the request.
	AllTried ShortageReason = "all tried"
)
