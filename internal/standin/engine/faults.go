package engine

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
)

const (
	defaultRestart = time.Second
	maxSlowFactor  = 10_000
)

// Faults configures the faults of the engine. The fault port reads and changes them.
type Faults struct {
	// SlowFactor multiplies the time of every step; 1 means no fault. It must be above
	// 0 and at most 10,000.
	SlowFactor float64 `json:"slow_factor"`
	// Down refuses connections and closes the open ones. Generations continue.
	Down bool `json:"down"`
	// Frozen accepts connections but processes nothing. Requests that arrive meanwhile
	// run after the thaw.
	Frozen bool `json:"frozen"`
	// Leaving refuses new requests and announces that the engine leaves. Running
	// requests are finished.
	Leaving bool `json:"leaving"`
	// Said is the other status that the engine announces in its answers.
	host.Said
	// CrashMarker crashes the engine when it starts a request whose body contains the
	// marker. Empty means no fault.
	CrashMarker string `json:"crash_marker"`
	// RestartMillis is the time from a crash to the restart, in milliseconds. The engine
	// restarts in its initial state: without streams, cache and fencing token, and with
	// the configured versions. A change during a crash restarts the time.
	RestartMillis int64 `json:"restart_ms"`
	// BadVersions are versions that fail in the middle of some of their answers.
	BadVersions []BadVersion `json:"bad_versions"`
	// CutStreams is how many of the next streams are cut after CutAfter chunks. The
	// generation continues and its stream can be resumed. Each cut decrements it.
	CutStreams int `json:"cut_streams"`
	// CutAfter is the number of chunks that a cut stream sends.
	CutAfter int `json:"cut_after"`
	// CrossStreams is how many of the next streams contain a chunk of another attempt
	// before their second chunk. Each such stream decrements it.
	CrossStreams int `json:"cross_streams"`
	// LoadLagMillis is the age of load reports, in milliseconds.
	LoadLagMillis int64 `json:"load_lag_ms"`
}

// BadVersion is a version that fails in some of its answers.
type BadVersion struct {
	// Version is the name of the version.
	Version string `json:"version"`
	// ErrorRate is the fraction of the version's answers that fail, 0 to 1.
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

// Validate returns an error that names the first invalid field.
func (f Faults) Validate() error {
	if err := f.Said.Validate(); err != nil {
		return err
	}
	switch {
	case !(f.SlowFactor > 0 && f.SlowFactor <= maxSlowFactor):
		return eris.Errorf("slow_factor: %v is not in (0, %d]", f.SlowFactor, maxSlowFactor)
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

// merge decodes JSON into the faults. Fields that are not in the body keep their values.
func (f *Faults) merge(body []byte) error {
	versions := f.BadVersions
	f.BadVersions = nil // otherwise the decoder would reuse the old elements
	if err := host.Decode(bytes.NewReader(body), f); err != nil {
		return err
	}
	if f.BadVersions == nil {
		f.BadVersions = versions
	}
	return nil
}

// errorRate returns the fraction of the version's answers that fail.
func (f Faults) errorRate(version string) float64 {
	for _, b := range f.BadVersions {
		if b.Version == version {
			return b.ErrorRate
		}
	}
	return 0
}

// streamFaults are the faults of one stream.
type streamFaults struct {
	cut      bool
	cutAfter int
	cross    bool
}

// takeStream returns the faults of the next stream and decrements their counts.
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
