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
	changeAttempts = 5
	changePause    = time.Second
)

// changeOptions are the flags of every command that changes the configuration.
type changeOptions struct {
	adminOptions
	Base     setting.Count    `long:"base" env:"HICKORYBANK_BASE" accept:"0..9223372036854775807" description:"revision that the change was made from (the present one, if not given)"`
	ChangeID string           `long:"change" env:"HICKORYBANK_CHANGE" accept:"name" description:"id of the change, to send it again (made up, if not given)"`
	DryRun   bool             `long:"dry-run" env:"HICKORYBANK_DRY_RUN" description:"show what would change, and change nothing"`
	Wait     setting.Duration `long:"wait" env:"HICKORYBANK_WAIT" accept:"0s..1h" default:"0s" description:"how long to wait until it is in force everywhere"`
}

// send sends a change and prints what became of it.
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
		return o.tryOut(s, c)
	}
	return o.change(s, c)
}

// base is the revision given, or the present one.
func (o *changeOptions) base(s *session) (uint64, error) {
	if o.Base.Given() {
		return o.Base.Uint64(), nil
	}
	var present admin.PresetChoice
	return s.client.Get(s.ctx, "preset", nil, &present)
}

func (o *changeOptions) tryOut(s *session, c client.Change) error {
	trial, err := s.client.Try(s.ctx, c)
	if err != nil {
		return err
	}
	if o.JSON {
		return writeJSON(o.env.out, trial)
	}
	fmt.Fprintf(o.env.out, "nothing was changed; from revision %d it would be:\n", trial.Base)
	o.printChange(trial.Differences, trial.Warnings)
	return nil
}

func (o *changeOptions) change(s *session, c client.Change) error {
	accepted, err := sendUntilTold(s, c)
	if err != nil {
		return explain(err, c)
	}
	return o.report(s, accepted)
}

// sendUntilTold sends a change again while it is not known what became of it.
// It has one id, so it is applied once at most.
func sendUntilTold(s *session, c client.Change) (admin.Acceptance, error) {
	unsure := false
	for attempt := 1; ; attempt++ {
		accepted, err := s.client.Change(s.ctx, c)
		if err == nil || !again(err, &unsure) {
			return accepted, err
		}
		if attempt == changeAttempts || !sleep(s.ctx, changePause) {
			if unsure {
				err = &unknownChange{cause: err}
			}
			return accepted, err
		}
	}
}

// again says whether another try may help, and notes that a try may have
// reached the store.
func again(err error, unsure *bool) bool {
	var silent *client.NoAnswer
	var failure *admin.Failure
	switch {
	case errors.As(err, &silent):
		*unsure = true
		return true
	case errors.As(err, &failure):
		*unsure = *unsure || failure.Outcome == admin.Unknown
		return failure.Code == admin.CodeUnknown || failure.Code == admin.CodeStoreUnavailable
	default:
		return false
	}
}

// unknownChange says that nobody told what became of a change.
type unknownChange struct {
	cause error
}

// Error returns the cause.
func (e *unknownChange) Error() string { return e.cause.Error() }

// explain tells an operator what to do next.
func explain(err error, c client.Change) error {
	var unknown *unknownChange
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

// put, post and remove are the ways to change.
func (o *changeOptions) put(body any, path ...string) error {
	return o.send(http.MethodPut, client.Path(path...), body)
}

func (o *changeOptions) post(body any, path ...string) error {
	return o.send(http.MethodPost, client.Path(path...), body)
}

func (o *changeOptions) remove(path ...string) error {
	return o.send(http.MethodDelete, client.Path(path...), nil)
}
