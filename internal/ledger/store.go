package ledger

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	readTimeout  = 3 * time.Second
	writeTimeout = 3 * time.Second
	// scanRows is the number of rows per scan. With rows of the largest size, the answer
	// stays below the platform's limit for an answer.
	scanRows = 200
)

// store reads and writes the ledger's rows and objects, and counts the calls.
type store struct {
	table   platform.Table
	objects platform.Objects

	writes atomic.Uint64
	reads  atomic.Uint64
	puts   atomic.Uint64
	// objectReads counts reads of objects, and lists of objects.
	objectReads atomic.Uint64
	conflicts   atomic.Uint64
	lostAcks    atomic.Uint64
}

// createClaims writes a row of a claim log on the conditions of the Create.
func (s *store) createClaims(ctx context.Context, name key.Log, c *claim.Create) (fate.Fate, error) {
	value, err := c.Row.Encode()
	if err != nil {
		return fate.Refused, err
	}
	row := name.Row(c.Seq)
	f, err := s.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: row}, {Key: name.Floor(), Version: c.Floor}},
		Writes:     []platform.Write{{Key: row, Value: value}},
	})
	if f == fate.Conflict {
		s.conflicts.Add(1)
	}
	return f, err
}

// createBills writes a row of bills to the table if it is absent.
func (s *store) createBills(ctx context.Context, row bill.Row) (fate.Fate, error) {
	value, err := row.Encode()
	if err != nil {
		return fate.Refused, err
	}
	return s.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: row.Key()}},
		Writes:     []platform.Write{{Key: row.Key(), Value: value}},
	})
}

// putBills writes a row of bills as an object.
func (s *store) putBills(ctx context.Context, row bill.Row) (fate.Fate, error) {
	value, err := row.Encode()
	if err != nil {
		return fate.Refused, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	s.puts.Add(1)
	if err := s.objects.Put(ctx, row.Key(), value); err != nil {
		return fate.OfError(err), err
	}
	return fate.Applied, nil
}

// putCompacted writes a compacted object.
func (s *store) putCompacted(ctx context.Context, name string, f *bill.CompactedObject) error {
	value, err := f.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	s.puts.Add(1)
	return s.objects.Put(ctx, name, value)
}

func (s *store) getObject(ctx context.Context, name string) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.objectReads.Add(1)
	return s.objects.Get(ctx, name)
}

func (s *store) listObjects(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.objectReads.Add(1)
	return s.objects.List(ctx, prefix)
}

func (s *store) commit(ctx context.Context, txn platform.Txn) (fate.Fate, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	s.writes.Add(1)
	f := fate.OfCommit(s.table.Commit(ctx, txn))
	if f == fate.Unanswered {
		s.lostAcks.Add(1)
	}
	return f, nil
}

func (s *store) get(ctx context.Context, rowKey string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.reads.Add(1)
	return s.table.Get(ctx, rowKey)
}

func (s *store) scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.reads.Add(1)
	return s.table.Scan(ctx, prefix, after, limit)
}

// floor reads the floor of a log's shard.
func (s *store) floor(ctx context.Context, name key.Log) (*claim.Floor, error) {
	row, err := s.get(ctx, name.Floor())
	if err != nil || row.Version == 0 {
		return new(claim.Floor), err
	}
	return claim.DecodeFloor(row.Version, row.Value)
}

// claims reads rows of a log from a sequence number on; more means that there may be
// further rows.
func (s *store) claims(ctx context.Context, name key.Log, from uint64) (rows []claim.StoredRow, more bool, err error) {
	after := ""
	if from > 0 {
		after = name.Row(from - 1)
	}
	found, err := s.scan(ctx, name.Prefix(), after, scanRows)
	if err != nil {
		return nil, false, err
	}
	for _, f := range found {
		row, err := storedRow(f)
		if err != nil {
			return nil, false, err
		}
		rows = append(rows, row)
	}
	return rows, len(found) == scanRows, nil
}

func storedRow(row platform.Row) (claim.StoredRow, error) {
	seq, err := sequence(row.Key)
	if err != nil {
		return claim.StoredRow{}, err
	}
	decoded, err := claim.Decode(row.Value)
	return claim.StoredRow{Seq: seq, Row: decoded}, err
}

// sequence returns the sequence number at the end of a row's key.
func sequence(rowKey string) (uint64, error) {
	seq, err := strconv.ParseUint(rowKey[strings.LastIndexByte(rowKey, '/')+1:], 10, 64)
	return seq, eris.Wrap(err, "number of row "+rowKey)
}
