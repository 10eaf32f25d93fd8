package admin

import (
	"errors"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/config"
)

// decode reads a strict body: a text that is not JSON is a bad request, fields
// that do not fit are faults.
func decode[T any](body []byte) (*T, *Failure) {
	v, err := config.Decode[T](body)
	var faults config.Faults
	if errors.As(err, &faults) {
		return nil, invalid(faults)
	}
	if err != nil {
		f := badRequest("the body is not one JSON value: %v", err)
		f.Outcome = NotApplied
		return nil, f
	}
	return v, nil
}

// decodeBody reads and decodes the body.
func decodeBody[T any](in *incoming) (*T, []byte, *Failure) {
	body, failure := readBody(in)
	if failure != nil {
		return nil, nil, failure
	}
	v, failure := decode[T](body)
	return v, body, failure
}

func keyReused(id string) *Failure {
	f := fail(http.StatusUnprocessableEntity, CodeKeyReused, "%s: %s belongs to another change", HeaderChange, id)
	f.Outcome = NotApplied
	return f
}
