package capacity

import "time"

// Size is what the system has to carry.
type Size struct {
	Nodes          int     `json:"nodes"`
	Runners        int     `json:"runners"`
	Accelerators   int     `json:"accelerators"`
	Requests       float64 `json:"requests_per_second"` // at the peak
	Tokens         float64 `json:"tokens_per_second"`   // at the peak
	Versions       int     `json:"versions"`
	Regions        int     `json:"regions"`
	FailureDomains int     `json:"failure_domains"`
	// Changes of configuration, failures and replacements of VMs, a day.
	Changes      float64       `json:"changes_per_day"`
	Failures     float64       `json:"failures_per_day"`
	Replacements float64       `json:"replacements_per_day"`
	InForce      time.Duration `json:"in_force_within"`
	FirstToken   time.Duration `json:"first_token"`
	TokenGap     time.Duration `json:"token_gap"`
}

// Letter is the size that our users' first letter gives.
func Letter() Size {
	return Size{
		Nodes: 1600, Runners: 10_000, Accelerators: 80_000,
		Requests: 94_000, Tokens: 30e6,
		Versions: 24, Regions: 11, FailureDomains: 38,
		Changes: 9100, Failures: 66, Replacements: 730,
		InForce: 3 * time.Second, FirstToken: 680 * time.Millisecond, TokenGap: 44 * time.Millisecond,
	}
}

const secondsPerDay = 86_400

// perNode spreads a total evenly.
func (s Size) perNode(total float64) float64 { return total / float64(s.Nodes) }

// perDomain is how many entry nodes a failure domain has.
func (s Size) perDomain() float64 { return float64(s.Nodes) / float64(s.FailureDomains) }

// TokensPerRequest is the mean length of an answer.
func (s Size) TokensPerRequest() float64 { return s.Tokens / s.Requests }

// VMs are all that the platform's list names.
func (s Size) VMs() int { return s.Nodes + s.Runners }

// Streams are the answers under way on one node: arrivals times duration.
func (s Size) Streams() float64 {
	duration := s.FirstToken.Seconds() + (s.TokensPerRequest()-1)*s.TokenGap.Seconds()
	return s.perNode(s.Requests) * duration
}
