package model

import "time"

const (
	// historyGrain is how many samples cover the lag.
	historyGrain = 16
	historySize  = historyGrain + 2
)

// LoadHistory remembers just enough of the load to report it with a lag. A
// report is as old as the lag, to within a sixteenth of it.
type LoadHistory struct {
	lag     time.Duration
	grain   time.Duration
	samples [historySize]loadSample
	count   int
}

type loadSample struct {
	at      time.Duration
	running int32
	queued  int32
}

// Load is how much work an engine had.
type Load struct {
	Running int
	Queued  int
}

// NewLoadHistory returns a history whose reports are as old as lag.
func NewLoadHistory(lag time.Duration) LoadHistory {
	return LoadHistory{lag: lag, grain: max(lag/historyGrain, 1)}
}

// Note records the load from now on. Notes in the same grain replace each
// other.
func (h *LoadHistory) Note(now time.Duration, running, queued int) {
	s := loadSample{at: now, running: int32(running), queued: int32(queued)}
	if h.count > 0 && (h.lag == 0 || h.samples[h.count-1].at/h.grain == now/h.grain) {
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

// At returns the load as it is reported at now.
func (h *LoadHistory) At(now time.Duration) Load {
	for i := h.count - 1; i >= 0; i-- {
		if h.samples[i].at+h.lag <= now {
			return Load{Running: int(h.samples[i].running), Queued: int(h.samples[i].queued)}
		}
	}
	return Load{}
}

// Lag is how old reports are.
func (h *LoadHistory) Lag() time.Duration { return h.lag }

// Load returns the load as the engine reports it at now.
func (e *Engine) Load(now time.Duration) Load { return e.history.At(now) }

// SetLoadLag changes how old reports are; the history starts anew.
func (e *Engine) SetLoadLag(now, lag time.Duration) {
	e.history = NewLoadHistory(lag)
	e.note(now)
}
