package memory

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// Bounds of calls, similar to those of common table services.
const (
	// MaxKey is the maximum length of a key, in bytes.
	MaxKey = 1024
	// MaxValue is the maximum size of a row's value, in bytes.
	MaxValue = 1 << 20
	// MaxTxn is the maximum number of conditions, and of writes, in a transaction.
	MaxTxn = 1000
	// MaxScan is the maximum number of rows that a scan may ask for.
	MaxScan = 1000
	// MaxObject is the maximum size of an object, in bytes.
	MaxObject = 32 << 20
)

// invalid returns the refusal of a call that can never succeed.
func invalid(format string, args ...any) *wire.Refusal {
	return &wire.Refusal{Reason: wire.Invalid, Detail: fmt.Sprintf(format, args...)}
}

func checkKey(key string) error {
	if key == "" || len(key) > MaxKey {
		return invalid("key: %d bytes; accepted are 1 to %d", len(key), MaxKey)
	}
	if !utf8.ValidString(key) {
		return invalid("key: %q is not UTF-8", key)
	}
	return nil
}

func checkScan(prefix, after string, limit int) error {
	if !utf8.ValidString(prefix) || !utf8.ValidString(after) {
		return invalid("prefix or after: not UTF-8")
	}
	if limit < 1 || limit > MaxScan {
		return invalid("limit: %d; accepted is 1 to %d", limit, MaxScan)
	}
	return nil
}

func checkTxn(txn platform.Txn) error {
	if len(txn.Conditions) > MaxTxn || len(txn.Writes) > MaxTxn {
		return invalid("txn: more than %d conditions or writes", MaxTxn)
	}
	for _, c := range txn.Conditions {
		if err := checkKey(c.Key); err != nil {
			return err
		}
	}
	return checkWrites(txn.Writes)
}

func checkWrites(writes []platform.Write) error {
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if err := checkKey(w.Key); err != nil {
			return err
		}
		if seen[w.Key] {
			return invalid("writes: key %q stands twice", w.Key)
		}
		seen[w.Key] = true
		if len(w.Value) > MaxValue {
			return invalid("writes: value of %q has %d bytes; at most %d", w.Key, len(w.Value), MaxValue)
		}
		if w.Delete && len(w.Value) > 0 {
			return invalid("writes: %q is deleted and has a value", w.Key)
		}
	}
	return nil
}

// cloneTxn copies a transaction, so that a delayed write does not see later changes
// that its caller makes to the buffers.
func cloneTxn(txn platform.Txn) platform.Txn {
	txn.Conditions = slices.Clone(txn.Conditions)
	txn.Writes = slices.Clone(txn.Writes)
	for i, w := range txn.Writes {
		txn.Writes[i].Value = bytes.Clone(w.Value)
	}
	return txn
}

func checkVM(vm platform.VM) error {
	if vm.ID == "" || strings.Contains(vm.ID, "/") {
		return invalid("id: %q; accepted is a name without a slash", vm.ID)
	}
	if vm.Addr == "" {
		return invalid("addr: missing")
	}
	switch vm.Role {
	case platform.RoleEntry, platform.RoleEngine, platform.RoleService:
	default:
		return invalid("role: %q; accepted are entry, engine, service", vm.Role)
	}
	switch vm.State {
	case platform.Live, platform.Leaving:
	default:
		return invalid("state: %q; accepted are live, leaving", vm.State)
	}
	return nil
}
