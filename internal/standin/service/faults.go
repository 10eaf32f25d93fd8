package service

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
)

const defaultRestart = time.Second

// Faults configures the faults of the service. The fault port reads and changes them.
type Faults struct {
	// DelayMillis is added to the latency of a call, in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// Down refuses connections and closes the open ones. Running calls continue.
	Down bool `json:"down"`
	// Frozen accepts connections but processes nothing. Calls that arrive meanwhile run
	// after the thaw.
	Frozen bool `json:"frozen"`
	// Leaving refuses new calls and announces that the service leaves. Running calls are
	// finished.
	Leaving bool `json:"leaving"`
	// Said is the other status that the service announces in its answers.
	host.Said
	// CrashMarker crashes the service when it starts a call whose body contains the
	// marker. The call counts as started. Empty means no fault.
	CrashMarker string `json:"crash_marker"`
	// RestartMillis is the time from a crash to the restart, in milliseconds. A change
	// during a crash restarts the time.
	RestartMillis int64 `json:"restart_ms"`
	// LoseAnswers is how many of the next calls complete and then break the connection
	// without an answer. Each lost answer decrements it.
	LoseAnswers int `json:"lose_answers"`
	// LoadLagMillis is the age of load reports, in milliseconds.
	LoadLagMillis int64 `json:"load_lag_ms"`
}

func newFaults(lag time.Duration) Faults {
	return Faults{RestartMillis: defaultRestart.Milliseconds(), LoadLagMillis: lag.Milliseconds()}
}

// Validate returns an error that names the first invalid field.
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
