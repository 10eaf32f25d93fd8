package load

import "time"

// Report holds the measurements of a run.
type Report struct {
	Run       string    `json:"run"`
	Mix       string    `json:"mix"`
	Arrivals  Arrivals  `json:"arrivals"`
	PerSecond float64   `json:"per_second"`
	Seed      uint64    `json:"seed"`
	Began     time.Time `json:"began"`
	// Seconds is the duration of the run until the last answer.
	Seconds       float64      `json:"seconds"`
	WarmUpSeconds float64      `json:"warm_up_seconds"`
	Lanes         []LaneReport `json:"lanes"`
	// Ratios compares the first lane with the second, if there are two.
	Ratios []Ratio `json:"ratios,omitempty"`
	// Lag is the delay between the scheduled and the actual start of requests, which
	// the load program itself adds to the latencies.
	Lag Latency `json:"lag"`
}

// LaneReport holds the measurements of one lane.
type LaneReport struct {
	Name string `json:"name"`
	// PerSecond is the rate of the lane's requests after the warm-up.
	PerSecond float64       `json:"per_second"`
	Total     ClassReport   `json:"total"`
	Classes   []ClassReport `json:"classes"`
}

// ClassReport holds the measurements of one class, or of all classes of a lane.
type ClassReport struct {
	Class string `json:"class"`
	Sent  int64  `json:"sent"`
	// DonePerSecond is the rate of answers that completed between the end of the
	// warm-up and the end of sending, whenever they were sent.
	DonePerSecond float64 `json:"done_per_second"`
	// Outcomes and Codes count the requests by their end; Checks counts completed
	// answers, those of the warm-up included.
	Outcomes []Count `json:"outcomes"`
	Codes    []Count `json:"codes,omitempty"`
	Checks   []Count `json:"checks"`
	Versions []Count `json:"versions,omitempty"`
	Redials  int64   `json:"redials"`
	// CostMicros is in micro-units of currency.
	CostMicros   int64 `json:"cost_micros"`
	InputTokens  int64 `json:"input_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// FirstToken covers streamed answers, Gap the time between two pieces of them,
	// Whole all completed answers. FirstToken and Whole count from the scheduled time.
	FirstToken Latency `json:"first_token"`
	Gap        Latency `json:"gap"`
	Whole      Latency `json:"whole"`
}

// Count is the number of occurrences of a name.
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

// WrongAnswers returns the number of foreign or partial answers among the completed ones,
// those of the warm-up included.
func (r *Report) WrongAnswers() int64 {
	var n int64
	for _, l := range r.Lanes {
		n += countOf(l.Total.Checks, string(Foreign)) + countOf(l.Total.Checks, string(Partial))
	}
	return n
}

// Completed returns the number of requests that completed after the warm-up.
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
