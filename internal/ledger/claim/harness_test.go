package claim

import (
	"fmt"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/table"
)

// variant breaks one guard of the protocol, to show that the checks detect it.
type variant struct {
	noAbsence     bool // rows are written without the condition that they are absent
	noFloor       bool // rows are written without the condition on the floor
	lostIsRefused bool // a lost answer is treated as a refusal
	conflictIsOwn bool // a conflict is treated as the writer's own row
	shortRead     bool // a read leaves out the newest row
}

// store is a table with the rows of claim logs. Its values are indexes into values
// rather than encoded rows, because the codec has tests of its own and would take most
// of the time.
type store struct {
	table   *table.Table
	values  []Row
	variant variant
}

func newStore() *store { return &store{table: table.New()} }

func (s *store) txn(name key.Log, c *Create) platform.Txn {
	value := fmt.Append(nil, len(s.values))
	s.values = append(s.values, c.Row)
	row := name.Row(c.Seq)
	txn := platform.Txn{Writes: []platform.Write{{Key: row, Value: value}}}
	if !s.variant.noAbsence {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row})
	}
	if !s.variant.noFloor {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: name.Floor(), Version: c.Floor})
	}
	return txn
}

func (s *store) commit(txn platform.Txn) fate.Fate {
	if s.table.Commit(txn).Applied {
		return fate.Applied
	}
	if s.variant.conflictIsOwn {
		return fate.Applied
	}
	return fate.Conflict
}

func (s *store) floor(name key.Log) Floor {
	row := s.table.Get(name.Floor())
	f := Floor{Version: row.Version}
	if row.Version != 0 {
		_, _ = fmt.Sscanf(string(row.Value), "%d", &f.Bucket)
	}
	return f
}

// floorFor returns the floor if the read requests it.
func (s *store) floorFor(name key.Log, read *Read) *Floor {
	if !read.Floor {
		return nil
	}
	f := s.floor(name)
	return &f
}

// raiseFloor deletes the rows of all buckets below the given one.
func (s *store) raiseFloor(name key.Log, bucket int64) {
	txn := platform.Txn{Writes: []platform.Write{{Key: name.Floor(), Value: fmt.Append(nil, bucket)}}}
	below := name
	below.Bucket = bucket
	for _, row := range s.table.Scan(name.ShardPrefix(), "", 1<<20) {
		if row.Key < below.Prefix() {
			txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
		}
	}
	s.table.Commit(txn)
}

func (s *store) rows(name key.Log, from uint64) []StoredRow {
	var rows []StoredRow
	for _, stored := range s.table.Scan(name.Prefix(), "", 1<<20) {
		seq := sequence(stored.Key)
		if seq < from {
			continue
		}
		var value int
		_, _ = fmt.Sscanf(string(stored.Value), "%d", &value)
		rows = append(rows, StoredRow{Seq: seq, Row: s.values[value]})
	}
	if s.variant.shortRead && len(rows) > 0 {
		rows = rows[:len(rows)-1]
	}
	return rows
}

func sequence(rowKey string) uint64 {
	var seq uint64
	_, _ = fmt.Sscanf(rowKey[strings.LastIndexByte(rowKey, '/')+1:], "%d", &seq)
	return seq
}

func settings(writer string) LogSettings {
	return LogSettings{
		Writer: writer, MinGap: 10 * time.Millisecond, MaxGap: time.Second,
		MaxEntries: 100, MaxBytes: 64 << 10, FailAfter: 300 * time.Millisecond,
	}
}
