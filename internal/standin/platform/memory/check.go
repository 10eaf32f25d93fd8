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

// Bounds of calls, of the kind that table services set.
const (
	MaxKey    = 1024
	MaxValue  = 1 << 20
	MaxTxn    = 1000
	MaxScan   = 1000
	MaxObject = 32 << 20
)

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

// cloneTxn keeps a write that takes effect late from seeing what its caller
// does to the buffers meanwhile.
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
