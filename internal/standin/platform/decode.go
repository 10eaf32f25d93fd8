package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// decode reads the JSON body of a request. It refuses unknown fields, trailing data
// and bodies longer than [wire.MaxBody].
func decode[T any](r *http.Request) (T, error) {
	var message T
	data, err := readBody(r)
	if err != nil {
		return message, err
	}
	err = decodeStrict(data, &message)
	return message, err
}

func decodeStrict(data []byte, message any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		return invalid(err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("data after the message")
	}
	return nil
}

// readBody reads a request body of at most [wire.MaxBody] bytes.
func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil {
		return nil, invalid("body: " + err.Error())
	}
	if len(data) > wire.MaxBody {
		return nil, invalid("body: too long")
	}
	return data, nil
}

func invalid(detail string) *wire.Refusal {
	return &wire.Refusal{Reason: wire.Invalid, Detail: detail}
}
