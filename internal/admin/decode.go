package admin

import (
	"errors"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/config"
)

// decode decodes a body strictly. Text that is not JSON gives [CodeBadRequest]; fields that are
// unknown or of the wrong type give [CodeInvalid] with their faults.
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

// decodeBody reads and decodes the body. It returns the raw body too, for the change's digest.
func decodeBody[T any](in *request) (*T, []byte, *Failure) {
	body, failure := readBody(in)
	if failure != nil {
		return nil, nil, failure
	}
	v, failure := decode[T](body)
	return v, body, failure
}

func changeIDReused(id string) *Failure {
	f := newFailure(http.StatusUnprocessableEntity, CodeChangeIDReused, "%s: %s belongs to another change", HeaderChangeID, id)
	f.Outcome = NotApplied
	return f
}
