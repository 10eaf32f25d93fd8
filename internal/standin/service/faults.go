package service

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
)

const defaultRestart = time.Second

// Faults is what goes wrong with the service. The fault port reads and changes
// it.
type Faults struct {
	// DelayMillis is added to the time that a call takes.
	DelayMillis int64 `json:"delay_ms"`
	// Down refuses connections and breaks the present ones; calls go on.
	Down bool `json:"down"`
	// Frozen accepts connections and does nothing; what came meanwhile runs
	// after the thaw.
	Frozen bool `json:"frozen"`
	// Leaving takes no new calls and says so; what runs is finished.
	Leaving bool `json:"leaving"`
	// Said is what it says of itself beside that.
	host.Said
	// CrashMarker crashes the service when it runs a call whose body contains
	// it; empty is no fault. The call counts as run.
	CrashMarker string `json:"crash_marker"`
	// RestartMillis is how long the service is away after a crash. A change
	// during a crash counts from then.
	RestartMillis int64 `json:"restart_ms"`
	// LoseAnswers is how many of the next calls run whole and then break the
	// connection in place of an answer. It counts down.
	LoseAnswers int `json:"lose_answers"`
	// LoadLagMillis is how old load reports are.
	LoadLagMillis int64 `json:"load_lag_ms"`
}

func newFaults(lag time.Duration) Faults {
	return Faults{RestartMillis: defaultRestart.Milliseconds(), LoadLagMillis: lag.Milliseconds()}
}

// Validate reports the first value that cannot be used.
func (f Faults) Validate() error {
	if err := f.Said.Validate(); err != nil {
		return err
	}
	switch {
	case f.DelayMillis < 0, f.RestartMillis < 0, f.LoadLagMillis < 0:
		return eris.New("delay_ms, restart_ms, load_lag_ms: one is negative")
	case f.LoseAnswers < 0:
		return eris.New("lose_answers: is negative")
	}
	return nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
