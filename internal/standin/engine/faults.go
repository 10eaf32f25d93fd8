package engine

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
)

const (
	defaultRestart = time.Second
	maxSlow        = 10_000
)

// Faults is what goes wrong with the engine. The fault port reads and changes
// it.
type Faults struct {
	// SlowFactor makes every step so many times as long; 1 is no fault.
	SlowFactor float64 `json:"slow_factor"`
	// Down refuses connections and breaks the present ones; generations go on.
	Down bool `json:"down"`
	// Frozen accepts connections and does nothing; what came meanwhile runs
	// after the thaw.
	Frozen bool `json:"frozen"`
	// Leaving takes no new work and says so; what runs is finished.
	Leaving bool `json:"leaving"`
	// Said is what it says of itself beside that.
	host.Said
	// CrashMarker crashes the engine when it runs a request whose body
	// contains it; empty is no fault.
	CrashMarker string `json:"crash_marker"`
	// RestartMillis is how long the engine is away after a crash. It comes
	// back as at its start: without streams, cache, fencing number or orders.
	// A change during a crash counts from then.
	RestartMillis int64 `json:"restart_ms"`
	// BadVersions fail in the middle of some of their answers.
	BadVersions []BadVersion `json:"bad_versions"`
	// CutStreams is how many of the next streams are cut after CutAfter
	// pieces; the generation goes on and can be resumed. It counts down.
	CutStreams int `json:"cut_streams"`
	CutAfter   int `json:"cut_after"`
	// CrossStreams is how many of the next streams carry a piece of another
	// attempt before their second piece. It counts down.
	CrossStreams int `json:"cross_streams"`
	// LoadLagMillis is how old load reports are.
	LoadLagMillis int64 `json:"load_lag_ms"`
}

// BadVersion is a version that has gone bad.
type BadVersion struct {
	Version string `json:"version"`
	// ErrorRate in [0,1] is the share of its answers that fail.
	ErrorRate float64 `json:"error_rate"`
}

func newFaults(lag time.Duration) Faults {
	return Faults{
		SlowFactor:    1,
		RestartMillis: defaultRestart.Milliseconds(),
		BadVersions:   []BadVersion{},
		LoadLagMillis: lag.Milliseconds(),
	}
}

// Validate reports the first value that cannot be used.
func (f Faults) Validate() error {
	if err := f.Said.Validate(); err != nil {
		return err
	}
	switch {
	case !(f.SlowFactor > 0 && f.SlowFactor <= maxSlow):
		return eris.Errorf("slow_factor: %v is not in (0, %d]", f.SlowFactor, maxSlow)
	case f.RestartMillis < 0:
		return eris.New("restart_ms: is negative")
	case f.CutStreams < 0, f.CutAfter < 0, f.CrossStreams < 0:
		return eris.New("cut_streams, cut_after, cross_streams: one is negative")
	case f.LoadLagMillis < 0:
		return eris.New("load_lag_ms: is negative")
	}
	for _, b := range f.BadVersions {
		if b.Version == "" || !(b.ErrorRate >= 0 && b.ErrorRate <= 1) {
			return eris.Errorf("bad_versions: %+v", b)
		}
	}
	return nil
}

// merge reads JSON over the faults; fields that it does not name stay.
func (f *Faults) merge(body []byte) error {
	versions := f.BadVersions
	f.BadVersions = nil // JSON would merge its elements into the old ones
	if err := host.Decode(bytes.NewReader(body), f); err != nil {
		return err
	}
	if f.BadVersions == nil {
		f.BadVersions = versions
	}
	return nil
}

// errorRate is the share of the version's answers that fail.
func (f Faults) errorRate(version string) float64 {
	for _, b := range f.BadVersions {
		if b.Version == version {
			return b.ErrorRate
		}
	}
	return 0
}

// streamFaults is what goes wrong with one stream.
type streamFaults struct {
	cut      bool
	cutAfter int
	cross    bool
}

// takeStream counts the faults of the next streams down.
func (f *Faults) takeStream() streamFaults {
	var s streamFaults
	if f.CutStreams > 0 {
		f.CutStreams--
		s.cut = true
		s.cutAfter = f.CutAfter
	}
	if f.CrossStreams > 0 {
		f.CrossStreams--
		s.cross = true
	}
	return s
}
