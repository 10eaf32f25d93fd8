package capacity

import "time"

// Size is the size and load of the system that the model assumes.
type Size struct {
	Nodes          int     `json:"nodes"`
	Runners        int     `json:"runners"`
	Accelerators   int     `json:"accelerators"`
	Requests       float64 `json:"requests_per_second"` // peak rate
	Tokens         float64 `json:"tokens_per_second"`   // peak rate
	Versions       int     `json:"versions"`
	Regions        int     `json:"regions"`
	FailureDomains int     `json:"failure_domains"`
	// Changes of configuration, failures and replacements of VMs, per day.
	Changes      float64       `json:"changes_per_day"`
	Failures     float64       `json:"failures_per_day"`
	Replacements float64       `json:"replacements_per_day"`
	InForce      time.Duration `json:"in_force_within"`
	FirstToken   time.Duration `json:"first_token"`
	TokenGap     time.Duration `json:"token_gap"`
}

// TargetSize returns the size from the users' requirements.
func TargetSize() Size {
	return Size{
		Nodes: 1600, Runners: 10_000, Accelerators: 80_000,
		Requests: 94_000, Tokens: 30e6,
		Versions: 24, Regions: 11, FailureDomains: 38,
		Changes: 9100, Failures: 66, Replacements: 730,
		InForce: 3 * time.Second, FirstToken: 680 * time.Millisecond, TokenGap: 44 * time.Millisecond,
	}
}

const secondsPerDay = 86_400

// perNode returns the share of one node in a total.
func (s Size) perNode(total float64) float64 { return total / float64(s.Nodes) }

// perDomain returns the number of entry nodes in a failure domain.
func (s Size) perDomain() float64 { return float64(s.Nodes) / float64(s.FailureDomains) }

// TokensPerRequest returns the mean length of an answer in tokens.
func (s Size) TokensPerRequest() float64 { return s.Tokens / s.Requests }

// VMs returns the number of VMs in the platform's list.
func (s Size) VMs() int { return s.Nodes + s.Runners }

// Streams returns the number of concurrent answers on one node: arrival rate times duration.
func (s Size) Streams() float64 {
	duration := s.FirstToken.Seconds() + (s.TokensPerRequest()-1)*s.TokenGap.Seconds()
	return s.perNode(s.Requests) * duration
}
