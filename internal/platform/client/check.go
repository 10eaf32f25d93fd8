package client

import (
	"unicode/utf8"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// checkKeys rejects keys that are not UTF-8. The JSON encoder silently replaces invalid
// bytes, so that two different keys could become the same.
func checkKeys(keys ...string) error {
	for _, key := range keys {
		if !utf8.ValidString(key) {
			return &Refusal{Reason: wire.Invalid, Detail: "key is not UTF-8"}
		}
	}
	return nil
}

// checkTxn rejects a transaction with a key that is not UTF-8.
func checkTxn(txn platform.Txn) error {
	for _, c := range txn.Conditions {
		if err := checkKeys(c.Key); err != nil {
			return err
		}
	}
	for _, w := range txn.Writes {
		if err := checkKeys(w.Key); err != nil {
			return err
		}
	}
	return nil
}

// checkSize rejects a body that is larger than the platform accepts. The platform would
// close the connection early, and a call that cannot succeed would be reported as one
// that may have taken effect.
func checkSize(body []byte) error {
	if len(body) > wire.MaxBody {
		return &Refusal{Reason: wire.Invalid, Detail: "body too long"}
	}
	return nil
}
