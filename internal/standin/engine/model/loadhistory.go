package model

import "time"

const (
	// samplesPerLag is the number of samples that cover the lag.
	samplesPerLag = 16
	historySize   = samplesPerLag + 2
)

// LoadHistory keeps samples of the load to report it with a lag. The age of a report
// deviates from the lag by at most 1/16 of the lag. It is not safe for concurrent use.
type LoadHistory struct {
	lag        time.Duration
	resolution time.Duration
	samples    [historySize]loadSample
	count      int
}

type loadSample struct {
	at      time.Duration
	running int32
	queued  int32
}

// Load is the amount of work of an engine or service at one time.
type Load struct {
	// Running is the number of requests that run.
	Running int
	// Queued is the number of requests that wait.
	Queued int
}

// NewLoadHistory returns an empty history whose reports have the age lag.
func NewLoadHistory(lag time.Duration) LoadHistory {
	return LoadHistory{lag: lag, resolution: max(lag/samplesPerLag, 1)}
}

// Record records the load from now on. Within 1/16 of the lag, a later load replaces an
// earlier one.
func (h *LoadHistory) Record(now time.Duration, running, queued int) {
	s := loadSample{at: now, running: int32(running), queued: int32(queued)}
	if h.count > 0 && (h.lag == 0 || h.samples[h.count-1].at/h.resolution == now/h.resolution) {
		h.samples[h.count-1] = s
		return
	}
	if h.count == historySize {
		copy(h.samples[:], h.samples[1:])
		h.count--
	}
	h.samples[h.count] = s
	h.count++
}

// At returns the load that is reported at now. It is zero before the first recorded load
// is as old as the lag.
func (h *LoadHistory) At(now time.Duration) Load {
	for i := h.count - 1; i >= 0; i-- {
		if h.samples[i].at+h.lag <= now {
			return Load{Running: int(h.samples[i].running), Queued: int(h.samples[i].queued)}
		}
	}
	return Load{}
}

// Lag returns the age of the reports.
func (h *LoadHistory) Lag() time.Duration { return h.lag }

// Load returns the load that the engine reports at now.
func (e *Engine) Load(now time.Duration) Load { return e.history.At(now) }

// SetLoadLag changes the age of load reports and clears the history.
func (e *Engine) SetLoadLag(now, lag time.Duration) {
	e.history = NewLoadHistory(lag)
	e.recordLoad(now)
}
