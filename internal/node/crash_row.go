package node

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/suspect"
)

// crashRow is the record of crashes as the table holds it. Times are in ms of the time of day.
type crashRow struct {
	Parts    crashguard.Record `json:"parts"`
	Suspects []suspectRow      `json:"suspects"`
}

// suspectRow is a request that was in flight at crashes.
type suspectRow struct {
	Fingerprint string       `json:"fingerprint"`
	Crashes     []engineLife `json:"crashes"`
	Cleared     []engineLife `json:"cleared,omitempty"`
	ExpiresMs   int64        `json:"expires_ms"`
	// ConvictedMs is when the request was convicted; 0 if it is not.
	ConvictedMs int64 `json:"convicted_ms,omitempty"`
}

// engineLife is one start of an upstream, which has crashed.
type engineLife struct {
	Upstream string `json:"upstream"`
	Epoch    uint64 `json:"epoch"`
}

// decodeCrashRow decodes a row; an empty one is a record of nothing.
func decodeCrashRow(data []byte) (crashRow, error) {
	var row crashRow
	if len(data) == 0 {
		return row, nil
	}
	if err := json.Unmarshal(data, &row); err != nil {
		return crashRow{}, eris.Wrapf(err, "row %s", crashRowKey)
	}
	if err := row.Parts.Check(); err != nil {
		return crashRow{}, eris.Wrapf(err, "row %s", crashRowKey)
	}
	return row, nil
}

func newSuspectRow(r *suspect.Record, now time.Time) suspectRow {
	s := suspectRow{
		Fingerprint: hex.EncodeToString(r.Fingerprint[:]), Crashes: livesOf(r.Crashes), Cleared: livesOf(r.Cleared),
		ExpiresMs: now.Add(r.Left).UnixMilli(),
	}
	if r.Since > 0 {
		s.ConvictedMs = now.Add(-r.Since).UnixMilli()
	}
	return s
}

// record returns the record for a tracker; false if the fingerprint is not valid.
func (s *suspectRow) record(now time.Time) (r suspect.Record, ok bool) {
	var f request.Fingerprint
	decoded, err := hex.DecodeString(s.Fingerprint)
	if err != nil || len(decoded) != len(f) {
		return r, false
	}
	copy(f[:], decoded)
	r = suspect.Record{Fingerprint: f, Crashes: crashesOf(s.Crashes), Cleared: crashesOf(s.Cleared), Left: time.UnixMilli(s.ExpiresMs).Sub(now)}
	if s.ConvictedMs > 0 {
		r.Since = now.Sub(time.UnixMilli(s.ConvictedMs))
	}
	return r, true
}

// holds reports whether the row states the same crashes as another one of the same request.
func (s *suspectRow) holds(other *suspectRow) bool {
	return s.Fingerprint == other.Fingerprint && slices.Equal(s.Crashes, other.Crashes) && slices.Equal(s.Cleared, other.Cleared)
}

// sameSuspects reports whether two lists, in any order, state the same crashes.
func sameSuspects(a, b []suspectRow) bool {
	if len(a) != len(b) {
		return false
	}
	byFingerprint := make(map[string]*suspectRow, len(a))
	for i := range a {
		byFingerprint[a[i].Fingerprint] = &a[i]
	}
	for i := range b {
		if known := byFingerprint[b[i].Fingerprint]; known == nil || !known.holds(&b[i]) {
			return false
		}
	}
	return true
}

func livesOf(list []suspect.CrashID) (lives []engineLife) {
	for _, c := range list {
		lives = append(lives, engineLife{c.Upstream, c.Epoch})
	}
	return lives
}

func crashesOf(lives []engineLife) (list []suspect.CrashID) {
	for _, l := range lives {
		list = append(list, suspect.CrashID{Upstream: l.Upstream, Epoch: l.Epoch})
	}
	return list
}
