package admin

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	applyAttempts = 5
	applyBackoff  = 50 * time.Millisecond
)

// Apply makes the change at most once, however often it is sent.
//
// It handles lost acknowledgements, where the transaction has taken effect, or will do so late, and
// no answer arrives. Sending the same transaction again is safe, since both copies require the same
// head and an unused id. So Apply retries until the table gives the outcome.
//
// If no outcome is known after all attempts, the error wraps [platform.ErrUnknown], and [Store.Find]
// finds the outcome later by the change's id. An error that wraps [platform.ErrRefused] means that
// this call changed nothing. A [config.Faults] means that the document is invalid. Any other error
// comes from Edit or from a stored row that cannot be read.
func (s *Store) Apply(ctx context.Context, c Change) (Result, error) {
	outcomeUnknown := false
	var err error
	for attempt := range applyAttempts {
		var result Result
		result, err = s.applyOnce(ctx, c)
		if err == nil && result.Verdict == Replayed && attempt > 0 {
			result.Verdict = Accepted // an earlier attempt of this call was accepted
		}
		if err == nil {
			return result, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, platform.ErrUnknown)
		if !outcomeUnknown || !s.sleep(ctx, applyBackoff<<attempt) {
			break
		}
	}
	if outcomeUnknown && !errors.Is(err, platform.ErrUnknown) {
		return Result{}, eris.Wrap(platform.ErrUnknown, err.Error())
	}
	return Result{}, err
}

// errConditionFailed means that a condition of the transaction failed. The next attempt reads the
// rows and finds out which one. It wraps [platform.ErrUnknown] so that there is a next attempt.
var errConditionFailed = eris.Wrap(platform.ErrUnknown, "the head or the change moved meanwhile")

// applyOnce reads the rows and commits if the change can still be applied. It reads the head before
// the change's row: once the head is past the base, no copy of the transaction can take effect any
// more. A change that has no row after that never will have one.
func (s *Store) applyOnce(ctx context.Context, c Change) (Result, error) {
	head, version, err := s.Head(ctx)
	if err != nil {
		return Result{}, err
	}
	record, found, err := s.Find(ctx, c.ID)
	if err != nil {
		return Result{}, err
	}
	switch {
	case found && (record.Digest != c.Digest || record.Base != c.Base):
		return Result{Verdict: Reused, Head: head, Record: record}, nil
	case found:
		return Result{Verdict: Replayed, Head: head, Record: record}, nil
	case head.Revision != c.Base:
		return Result{Verdict: Conflicted, Head: head}, nil
	}
	return s.commit(ctx, c, version)
}

func (s *Store) commit(ctx context.Context, c Change, version uint64) (Result, error) {
	before, doc, err := s.editedDocuments(ctx, c)
	if err != nil {
		return Result{}, err
	}
	record := Record{
		Revision: c.Base + 1, Base: c.Base, Change: c.ID, Operator: c.Operator,
		Preset: doc.Preset, At: c.At, Digest: c.Digest,
	}
	txn, err := changeTxn(record, version, before, doc)
	if err != nil {
		return Result{}, err
	}
	txn.Writes = append(txn.Writes, s.expiredRows(ctx, record.Revision)...)
	result, err := s.table.Commit(ctx, txn)
	if err != nil {
		return Result{}, eris.Wrap(err, "commit configuration")
	}
	if !result.Applied {
		return Result{}, errConditionFailed
	}
	return Result{Verdict: Accepted, Head: headOf(record), Record: record, Before: before, Doc: doc}, nil
}

// editedDocuments returns the documents before and after the change. The latter is validated.
func (s *Store) editedDocuments(ctx context.Context, c Change) (before, after *config.Document, err error) {
	before, err = s.baseDocument(ctx, c)
	if err != nil {
		return nil, nil, err
	}
	after, err = c.Edit(before.Clone())
	if err != nil {
		return nil, nil, err
	}
	if faults := after.Validate(); len(faults) > 0 {
		return nil, nil, faults
	}
	return before, after, nil
}

func (s *Store) baseDocument(ctx context.Context, c Change) (*config.Document, error) {
	if c.Base == 0 {
		return &config.Document{}, nil
	}
	doc, err := s.Document(ctx, c.Base)
	switch {
	case err != nil && (!c.Replaces || isTableError(err)):
		return nil, err
	case err != nil || (doc == nil && c.Replaces):
		return &config.Document{}, nil
	case doc == nil:
		return nil, eris.Errorf("document of revision %d is missing", c.Base)
	}
	return doc, nil
}

func isTableError(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnknown)
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
