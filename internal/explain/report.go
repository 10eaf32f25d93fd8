package explain

// Report is a node's answer: where the request would go now, and why. Times are in
// milliseconds, work in units: prefilled tokens of the largest model, or requests of a plain
// service. Ages are negative where the node knows nothing.
type Report struct {
	Node          string  `json:"node"`
	ConfigVersion int64   `json:"config_version"`
	Request       Request `json:"request"`
	// Route, Kind and Service serve the request; empty for an unknown route.
	Route   string `json:"route,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Service string `json:"service,omitempty"`
	// Priority is the request's; 0 is the most urgent.
	Priority int      `json:"priority"`
	Regions  []string `json:"regions,omitempty"`
	Model    Model    `json:"model"`
	Version  Version  `json:"version"`
	// Load is the share of the service's slots in use.
	Load float64 `json:"load"`
	// Upstream is the one that the request would go to; empty for none.
	Upstream string `json:"upstream,omitempty"`
	// ConfirmsLimit is set if it gets the request to confirm its rate limit, without a
	// comparison.
	ConfirmsLimit bool `json:"confirms_limit,omitempty"`
	// Rank is the position in the upstream's queue; -1 if the request gets none.
	Rank int `json:"rank"`
	// ExpectedWaitMs is the usual wait until the response starts, UnitMs that for a unit of
	// work, FirstEventMs the expected time to the first event; 0 if unknown.
	ExpectedWaitMs float64 `json:"expected_wait_ms"`
	FirstEventMs   float64 `json:"first_event_ms"`
	UnitMs         float64 `json:"unit_ms"`
	// RetryBudgetLeft is how many further attempts the service's requests may make now.
	RetryBudgetLeft float64     `json:"retry_budget_left"`
	Candidates      []Candidate `json:"candidates"`
	Excluded        []Excluded  `json:"excluded"`
	// Refusal is the answer if no upstream takes the request; nil otherwise.
	Refusal *Refusal `json:"refusal,omitempty"`
	Ages    Ages     `json:"ages"`
}

// Model is the first attempt's model.
type Model struct {
	// Name is empty if the request names none and the route has none.
	Name string `json:"name,omitempty"`
	// Chosen is set if the router chooses, among Candidates.
	Chosen     bool     `json:"chosen"`
	Candidates []string `json:"candidates,omitempty"`
	// Accept is the confidence, 0 to 100, that is now demanded of a smaller model's answer.
	Accept int `json:"accept,omitempty"`
}

// Version is what a roll-out asks of the upstream's version.
type Version struct {
	// Only is the only version that may serve; empty for any.
	Only string `json:"only,omitempty"`
	// AnyOther is set if no upstream of that version takes the request, so that any other
	// version may that is not in Excluded.
	AnyOther bool     `json:"any_other,omitempty"`
	Excluded []string `json:"excluded,omitempty"`
	// MaxUpstreams is how many upstreams of the version may serve; 0 for all.
	MaxUpstreams int `json:"max_upstreams,omitempty"`
}

// Candidate is an upstream that was compared, the cheapest first.
type Candidate struct {
	Upstream string `json:"upstream"`
	Domain   string `json:"domain"`
	Version  string `json:"version"`
	// Affinity is set if requests with the same last prefix part go there.
	Affinity bool  `json:"affinity"`
	Units    Terms `json:"units"`
	// Ms are the same terms in milliseconds; nil if the time for a unit is unknown.
	Ms *Terms `json:"ms,omitempty"`
	// Slowness and Failures are factors: Total is
	// (Queued+Prefill+Reread+Batch) x Slowness x (1+Failures) + Remote + RateBound + Tie.
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failures"`
	InFlight int     `json:"in_flight"`
	// LoadReportAgeMs and MachineAgeMs are the ages of the upstream's reports, SpeedWeight
	// the weight of the evidence of its speed in observed streams.
	LoadReportAgeMs float64 `json:"load_report_age_ms"`
	MachineAgeMs    float64 `json:"machine_age_ms"`
	SpeedWeight     float64 `json:"speed_weight"`
}

// Terms are the terms of a candidate's cost.
type Terms struct {
	Queued    float64 `json:"queued"`
	Prefill   float64 `json:"prefill"`
	Reread    float64 `json:"reread"`
	Batch     float64 `json:"batch"`
	Remote    float64 `json:"remote"`
	RateBound float64 `json:"rate_bound"`
	Tie       float64 `json:"tie"`
	Total     float64 `json:"total"`
}

// Excluded counts upstreams of the service that were not compared, for one reason.
type Excluded struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	// FirstBackMs is when the first of them is available again; 0 if that is unknown.
	FirstBackMs float64 `json:"first_back_ms,omitempty"`
}

// Refusal is the node's own answer.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Text   string `json:"text"`
	// RetryAfterMs and RetryAfterMaxMs bound the Retry-After, which is spread between them; 0
	// for none.
	RetryAfterMs    float64 `json:"retry_after_ms,omitempty"`
	RetryAfterMaxMs float64 `json:"retry_after_max_ms,omitempty"`
	// WaitsMs is how long the request first waits for an upstream.
	WaitsMs float64 `json:"waits_ms,omitempty"`
}

// Ages are the ages of what the answer rests on.
type Ages struct {
	TableMs    float64 `json:"table_ms"`
	OrdersMs   float64 `json:"orders_ms"`
	InFlightMs float64 `json:"in_flight_ms"`
}

// Scaled returns the terms times a factor.
func (t Terms) Scaled(factor float64) Terms {
	return Terms{
		Queued: t.Queued * factor, Prefill: t.Prefill * factor, Reread: t.Reread * factor, Batch: t.Batch * factor,
		Remote: t.Remote * factor, RateBound: t.RateBound * factor, Tie: t.Tie * factor, Total: t.Total * factor,
	}
}
