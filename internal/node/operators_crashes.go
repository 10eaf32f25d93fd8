package node

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/request"
)

// HeldCrashes lists the suspects, and the messages and chats that the guard refuses.
func (o *operators) HeldCrashes(context.Context) ([]admin.HeldCrash, error) {
	now := time.Now()
	var list []admin.HeldCrash
	for _, r := range o.node.suspects.records(maxRecordedSuspects, now) {
		held := admin.HeldCrash{Key: hex.EncodeToString(r.Fingerprint[:]), Of: "request", State: "suspected", Crashes: r.Counted(), Cleared: len(r.Cleared)}
		if r.Since > 0 {
			held.State = "convicted"
		}
		list = append(list, held)
	}
	for _, k := range o.node.crashes.held(now) {
		held := admin.HeldCrash{Key: k.Key, Of: "request", State: "quarantined", Crashes: k.Strikes, Cleared: k.Cleared, Trials: k.Trials}
		if k.Part {
			held.Of = "message"
		}
		if k.Convicted {
			held.State = "convicted"
		}
		list = append(list, held)
	}
	return list, nil
}

// Pardon clears the crashes of a key, which is a suspect's fingerprint or one of the guard's keys.
func (o *operators) Pardon(_ context.Context, key string) (bool, error) {
	var f request.Fingerprint
	if len(key) == hex.EncodedLen(len(f)) {
		if _, err := hex.Decode(f[:], []byte(key)); err != nil {
			return false, fmt.Errorf("key is %q, want hexadecimal digits", key)
		}
		return o.node.suspects.pardon(f), nil
	}
	k, err := crashguard.ParseKey(key)
	if err != nil {
		return false, err
	}
	return o.node.crashes.pardon(k), nil
}
