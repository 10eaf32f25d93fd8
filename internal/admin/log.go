package admin

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// maxRecords is the most records of one read of the log.
const maxRecords = 1000

// Find returns the record of an accepted change. A change that is not found may still take effect
// as long as the head is at its base.
func (s *Store) Find(ctx context.Context, id string) (record Record, found bool, err error) {
	row, err := s.table.Get(ctx, changeKey(id))
	if err != nil || row.Version == 0 {
		return record, false, eris.Wrap(err, "read change")
	}
	var p changeRow
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return record, false, eris.Wrap(err, "decode change")
	}
	row, err = s.table.Get(ctx, logKey(p.Revision))
	if err != nil || row.Version == 0 {
		return record, false, eris.Wrap(err, "read record")
	}
	err = json.Unmarshal(row.Value, &record)
	return record, err == nil, eris.Wrap(err, "decode record")
}

// Recent returns the records of the latest accepted changes, newest first. It returns at most limit
// records and never more than maxRecords.
func (s *Store) Recent(ctx context.Context, limit int) ([]Record, error) {
	limit = min(limit, maxRecords)
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	after := ""
	if head.Revision > uint64(limit) {
		after = logKey(head.Revision - uint64(limit))
	}
	rows, err := s.table.Scan(ctx, logPrefix, after, limit)
	if err != nil {
		return nil, eris.Wrap(err, "read log")
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		var r Record
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, eris.Wrap(err, "decode record")
		}
		records = append(records, r)
	}
	slices.Reverse(records)
	return records, nil
}
