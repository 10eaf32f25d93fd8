package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/admin/client"
	"github.com/hickorybank/hickorybank/internal/cli/setting"
)

const (
	changeAttempts   = 5
	changeRetryPause = time.Second
)

// changeOptions are the flags of every command that changes the configuration.
type changeOptions struct {
	adminOptions
	Base     setting.Count    `long:"base" env:"HICKORYBANK_BASE" accept:"0..9223372036854775807" description:"revision that the change was made from (the present one, if not given)"`
	ChangeID string           `long:"change" env:"HICKORYBANK_CHANGE" accept:"name" description:"id of the change, to send it again (made up, if not given)"`
	DryRun   bool             `long:"dry-run" env:"HICKORYBANK_DRY_RUN" description:"show what would change, and change nothing"`
	Wait     setting.Duration `long:"wait" env:"HICKORYBANK_WAIT" accept:"0s..1h" default:"0s" description:"how long to wait until it is in force everywhere"`
}

// send sends a change and prints its outcome.
func (o *changeOptions) send(method, path string, body any) error {
	s, err := o.open()
	if err != nil {
		return err
	}
	defer s.close()
	c := client.Change{Method: method, Path: path, ID: o.ChangeID}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		c.Body = data
	}
	if c.Base, err = o.base(s); err != nil {
		return err
	}
	if o.DryRun {
		return o.dryRun(s, c)
	}
	return o.change(s, c)
}

// base returns the revision given with --base, or the current one.
func (o *changeOptions) base(s *session) (uint64, error) {
	if o.Base.Given() {
		return o.Base.Uint64(), nil
	}
	var preset admin.PresetChoice
	return s.client.Get(s.ctx, "preset", nil, &preset)
}

func (o *changeOptions) dryRun(s *session, c client.Change) error {
	result, err := s.client.DryRun(s.ctx, c)
	if err != nil {
		return err
	}
	if o.JSON {
		return writeJSON(o.env.out, result)
	}
	fmt.Fprintf(o.env.out, "nothing was changed; from revision %d it would be:\n", result.Base)
	o.printChange(result.Differences, result.Warnings)
	return nil
}

func (o *changeOptions) change(s *session, c client.Change) error {
	accepted, err := sendUntilDecided(s, c)
	if err != nil {
		return explainFailure(err, c)
	}
	return o.report(s, accepted)
}

// sendUntilDecided sends a change and retries while its outcome is unknown. All attempts have one
// id, so the change is applied at most once.
func sendUntilDecided(s *session, c client.Change) (admin.Acceptance, error) {
	mayHaveApplied := false
	for attempt := 1; ; attempt++ {
		accepted, err := s.client.Change(s.ctx, c)
		if err == nil || !shouldRetry(err, &mayHaveApplied) {
			return accepted, err
		}
		if attempt == changeAttempts || !sleep(s.ctx, changeRetryPause) {
			if mayHaveApplied {
				err = &unknownOutcomeError{cause: err}
			}
			return accepted, err
		}
	}
}

// shouldRetry reports whether another attempt may succeed. It sets mayHaveApplied if the failed
// attempt may have reached the store.
func shouldRetry(err error, mayHaveApplied *bool) bool {
	var noAnswer *client.NoAnswer
	var failure *admin.Failure
	switch {
	case errors.As(err, &noAnswer):
		*mayHaveApplied = true
		return true
	case errors.As(err, &failure):
		*mayHaveApplied = *mayHaveApplied || failure.Outcome == admin.Unknown
		return failure.Code == admin.CodeUnknown || failure.Code == admin.CodeStoreUnavailable
	default:
		return false
	}
}

// unknownOutcomeError is the error of a change that may have been applied.
type unknownOutcomeError struct {
	cause error
}

// Error returns the message of the cause.
func (e *unknownOutcomeError) Error() string { return e.cause.Error() }

// explainFailure adds to an error what the operator can do next.
func explainFailure(err error, c client.Change) error {
	var unknown *unknownOutcomeError
	var failure *admin.Failure
	switch {
	case errors.As(err, &unknown):
		return eris.Errorf("unknown: the change may have been applied, or may yet be (%v)\nask later with: hickorybank admin change %s --base %d", unknown.cause, c.ID, c.Base)
	case errors.As(err, &failure) && failure.Code == admin.CodeConflict:
		return eris.Errorf("another change came first: the present revision is %d, this change was made from %d\nnothing was changed; look at the present configuration and try again", *failure.Revision, c.Base)
	default:
		return err
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// put, post and remove send a change with the method PUT, POST or DELETE.
func (o *changeOptions) put(body any, path ...string) error {
	return o.send(http.MethodPut, client.Path(path...), body)
}

func (o *changeOptions) post(body any, path ...string) error {
	return o.send(http.MethodPost, client.Path(path...), body)
}

func (o *changeOptions) remove(path ...string) error {
	return o.send(http.MethodDelete, client.Path(path...), nil)
}
