package share

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const holdPrefix = "hold/"

// recordTries bounds how often a record that others write at the same time is
// tried again at once.
const recordTries = 4

// readHolds returns the holds in the table. A row that cannot be read is left
// out, and named in the error.
func readHolds(ctx context.Context, table platform.Table) ([]choice.Hold, error) {
	var list []choice.Hold
	after := ""
	for {
		rows, err := table.Scan(ctx, holdPrefix, after, scanLimit)
		if err != nil {
			return list, err
		}
		for _, row := range rows {
			h, err := parseHold(row)
			if err != nil {
				return list, err
			}
			list = append(list, h)
			after = row.Key
		}
		if len(rows) < scanLimit {
			return list, nil
		}
	}
}

func parseHold(row platform.Row) (choice.Hold, error) {
	var h choice.Hold
	if row.Version == 0 || len(row.Value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, eris.Wrap(err, "row "+row.Key)
	}
	h.Version = strings.TrimPrefix(row.Key, holdPrefix)
	return h, nil
}

// recordHold writes a hold unless the table has a later word on its version,
// and returns what the table then holds. A write whose answer was lost may be
// repeated: the row then says so already.
func recordHold(ctx context.Context, table platform.Table, h choice.Hold) (choice.Hold, error) {
	key := holdPrefix + h.Version
	for range recordTries {
		row, err := table.Get(ctx, key)
		if err != nil {
			return h, err
		}
		old, err := parseHold(row)
		if err != nil {
			return h, err
		}
		if !h.After(old) {
			return old, nil
		}
		result, err := table.Commit(ctx, holdTxn(key, row.Version, h))
		if err != nil {
			return h, err
		}
		if result.Applied {
			return h, nil
		}
	}
	return h, eris.New("row " + key + " is written by others all the time")
}

func holdTxn(key string, version uint64, h choice.Hold) platform.Txn {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err) // a struct of plain values can be written
	}
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
}
