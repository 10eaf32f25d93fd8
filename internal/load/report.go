package load

import "time"

// Report is what a run came to.
type Report struct {
	Run       string    `json:"run"`
	Mix       string    `json:"mix"`
	Arrivals  Arrivals  `json:"arrivals"`
	PerSecond float64   `json:"per_second"`
	Seed      uint64    `json:"seed"`
	Began     time.Time `json:"began"`
	// Seconds is how long the run took, the last answers included.
	Seconds       float64 `json:"seconds"`
	WarmUpSeconds float64 `json:"warm_up_seconds"`
	Lanes         []Line  `json:"lanes"`
	// Ratios are of the first lane to the second, when there are two.
	Ratios []Ratio `json:"ratios,omitempty"`
	// Lag is how late this program started its requests: what the figures owe
	// to itself.
	Lag Latency `json:"lag"`
}

// Line is the figures of one lane.
type Line struct {
	Name string `json:"name"`
	// PerSecond is the rate of the lane's requests, after the warm-up.
	PerSecond float64 `json:"per_second"`
	Total     Tally   `json:"total"`
	Classes   []Tally `json:"classes"`
}

// Tally is the figures of one class, or of all.
type Tally struct {
	Class string `json:"class"`
	Sent  int64  `json:"sent"`
	// DonePerSecond counts the answers that completed between the end of the
	// warm-up and the end of sending, whenever they were sent.
	DonePerSecond float64 `json:"done_per_second"`
	// Outcomes and Codes count the ends; Checks count the completed answers.
	Outcomes []Count `json:"outcomes"`
	Codes    []Count `json:"codes,omitempty"`
	Checks   []Count `json:"checks"`
	Versions []Count `json:"versions,omitempty"`
	Redials  int64   `json:"redials"`
	// CostMicros is in micro-units of currency.
	CostMicros   int64 `json:"cost_micros"`
	InputTokens  int64 `json:"input_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// FirstToken is of streams, Gap between two pieces, Whole of everything
	// that completed. All but Gap count from the scheduled time.
	FirstToken Latency `json:"first_token"`
	Gap        Latency `json:"gap"`
	Whole      Latency `json:"whole"`
}

// Count is how often something was.
type Count struct {
	Name string `json:"name"`
	N    int64  `json:"n"`
}

// Ratio compares one figure of two lanes.
type Ratio struct {
	Figure string  `json:"figure"`
	First  int64   `json:"first_us"`
	Second int64   `json:"second_us"`
	Ratio  float64 `json:"ratio"`
}

// Wrong is how many answers were foreign or partial although they claimed to be
// complete, the warm-up included.
func (r *Report) Wrong() int64 {
	var n int64
	for _, l := range r.Lanes {
		n += countOf(l.Total.Checks, string(Foreign)) + countOf(l.Total.Checks, string(Partial))
	}
	return n
}

// Completed is how many requests completed.
func (r *Report) Completed() int64 {
	var n int64
	for _, l := range r.Lanes {
		n += countOf(l.Total.Outcomes, "completed")
	}
	return n
}

func countOf(counts []Count, name string) int64 {
	for _, c := range counts {
		if c.Name == name {
			return c.N
		}
	}
	return 0
}
