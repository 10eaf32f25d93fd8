package client

import (
	"unicode/utf8"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// checkText refuses keys that JSON cannot carry: the encoder would replace
// their bad bytes in silence, and two different keys could become one.
func checkText(keys ...string) error {
	for _, key := range keys {
		if !utf8.ValidString(key) {
			return &Refusal{Reason: wire.Invalid, Detail: "key is not UTF-8"}
		}
	}
	return nil
}

func checkTxn(txn platform.Txn) error {
	for _, c := range txn.Conditions {
		if err := checkText(c.Key); err != nil {
			return err
		}
	}
	for _, w := range txn.Writes {
		if err := checkText(w.Key); err != nil {
			return err
		}
	}
	return nil
}

// checkSize refuses a body that the platform would not read to its end. It
// would close the connection early, and a call that cannot succeed would end
// as one that may have taken effect.
func checkSize(body []byte) error {
	if len(body) > wire.MaxBody {
		return &Refusal{Reason: wire.Invalid, Detail: "body too long"}
	}
	return nil
}
