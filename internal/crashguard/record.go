package crashguard

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

const (
	// maxRecordBytes bounds an encoded record. It leaves room in a row of 64 KiB.
	maxRecordBytes = 48 << 10
	// maxRecordKeys bounds the keys of a record, maxRecordFirst those of them that are convicted or
	// were tried: newer evidence has the rest.
	maxRecordKeys  = 128
	maxRecordFirst = 96
)

// Record is what nodes know of crashes as the platform's table holds it, so that it outlasts the
// processes. Unlike a [Report], which is news for peers, it has all evidence that may still count.
// Times are in ms of the table's clock.
type Record struct {
	Crashes []RecordedCrash `json:"crashes"`
	Keys    []RecordedKey   `json:"keys"`
}

// RecordedCrash is a crash and when it happened.
type RecordedCrash struct {
	ID   CrashID `json:"id"`
	AtMs int64   `json:"at_ms"`
}

// RecordedKey is what is recorded of a key. Struck, Cleared and Sequels are bit sets of indexes into
// the record's crashes.
type RecordedKey struct {
	Key     Key    `json:"key"`
	Parent  Key    `json:"parent,omitempty"`
	Part    bool   `json:"part,omitempty"`
	Struck  []byte `json:"struck,omitempty"`
	Cleared []byte `json:"cleared,omitempty"`
	Sequels []byte `json:"sequels,omitempty"`
	Trials  int    `json:"trials,omitempty"`
	// TrialMs is when the last trial began; 0 for none. InTrial is set while it may still run.
	TrialMs int64 `json:"trial_ms,omitempty"`
	InTrial bool  `json:"in_trial,omitempty"`
	// Answered is set if requests with the key were answered shortly before its strikes.
	Answered bool `json:"answered,omitempty"`
}

// DecodeRecord decodes a record, which another program may have written.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "record of crashes")
	}
	if err := r.Check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// Check returns the first value of the record that is out of bounds; nil if there is none.
func (r *Record) Check() error {
	if len(r.Crashes) > maxCrashes || len(r.Keys) > maxKeys {
		return eris.Errorf("record of crashes: %d crashes and %d keys, at most %d and %d are allowed", len(r.Crashes), len(r.Keys), maxCrashes, maxKeys)
	}
	for i := range r.Keys {
		if trials := r.Keys[i].Trials; trials < 0 || trials > maxRecordedTrials {
			return eris.Errorf("record of crashes: trials of key %016x is %d, want 0 to %d", uint64(r.Keys[i].Key), trials, maxRecordedTrials)
		}
	}
	return nil
}

// maxRecordedTrials bounds the trials of a key in a record. A loss of upstreams in a trial starts
// the trials anew.
const maxRecordedTrials = 1000
