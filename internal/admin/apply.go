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
	applyPause    = 50 * time.Millisecond
)

// Apply makes the change, at most once however often it is sent.
//
// It guards against a lost acknowledgement: the transaction took effect, or
// will do so late, and the writer hears nothing. Sending the same transaction
// again is harmless, since both copies demand the same head and that the id is
// new; so it is sent again until the table says what became of it. If that
// does not come, the error wraps [platform.ErrUnknown], and the change's id
// answers later (see [Store.Find]). An error that wraps [platform.ErrRefused]
// says that this call changed nothing; a config.Faults, that the document is
// not valid; any other error is Edit's own or of a stored row that cannot be
// read.
func (s *Store) Apply(ctx context.Context, c Change) (Result, error) {
	unsure := false
	var err error
	for attempt := range applyAttempts {
		var result Result
		result, err = s.try(ctx, c)
		if err == nil && result.Verdict == Replayed && attempt > 0 {
			result.Verdict = Accepted // by one of the attempts before
		}
		if err == nil {
			return result, nil
		}
		unsure = unsure || errors.Is(err, platform.ErrUnknown)
		if !unsure || !s.pause(ctx, applyPause<<attempt) {
			break
		}
	}
	if unsure && !errors.Is(err, platform.ErrUnknown) {
		return Result{}, eris.Wrap(platform.ErrUnknown, err.Error())
	}
	return Result{}, err
}

// errRaced says that the transaction's condition failed: the next look at the
// rows tells why.
var errRaced = eris.Wrap(platform.ErrUnknown, "the head or the change moved meanwhile")

// try looks at the rows and commits if the change can still apply. The head is
// read before the change's row: once the head is past the base, no copy of the
// transaction can take effect any more, so a change without a row then never
// will have one.
func (s *Store) try(ctx context.Context, c Change) (Result, error) {
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
	before, doc, err := s.edited(ctx, c)
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
	txn.Writes = append(txn.Writes, s.outdated(ctx, record.Revision)...)
	result, err := s.table.Commit(ctx, txn)
	if err != nil {
		return Result{}, eris.Wrap(err, "commit configuration")
	}
	if !result.Applied {
		return Result{}, errRaced
	}
	return Result{Verdict: Accepted, Head: headOf(record), Record: record, Before: before, Doc: doc}, nil
}

// edited returns the documents before and after the change, the latter valid.
func (s *Store) edited(ctx context.Context, c Change) (before, after *config.Document, err error) {
	before, err = s.base(ctx, c)
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

func (s *Store) base(ctx context.Context, c Change) (*config.Document, error) {
	if c.Base == 0 {
		return &config.Document{}, nil
	}
	doc, err := s.Document(ctx, c.Base)
	switch {
	case err != nil && (!c.Replaces || isPlatform(err)):
		return nil, err
	case err != nil || (doc == nil && c.Replaces):
		return &config.Document{}, nil
	case doc == nil:
		return nil, eris.Errorf("document of revision %d is missing", c.Base)
	}
	return doc, nil
}

func isPlatform(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnknown)
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
