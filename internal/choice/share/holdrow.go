package share

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// holdPrefix is the prefix of the keys of hold rows.
const holdPrefix = "hold/"

// maxRecordAttempts bounds the immediate attempts to write a hold row that other nodes
// write at the same time.
const maxRecordAttempts = 4

// readHolds returns the holds in the table, and an error for each row that cannot be decoded. If
// a call fails, it returns the holds before it.
func readHolds(ctx context.Context, table platform.Table) (list []choice.Hold, unreadable []error, err error) {
	after := ""
	for {
		rows, err := table.Scan(ctx, holdPrefix, after, maxScanRows)
		if err != nil {
			return list, unreadable, err
		}
		for _, row := range rows {
			after = row.Key
			h, err := parseHold(row)
			if err != nil {
				unreadable = append(unreadable, err)
				continue
			}
			list = append(list, h)
		}
		if len(rows) < maxScanRows {
			return list, unreadable, nil
		}
	}
}

// parseHold decodes a hold row; a missing or empty row is the zero Hold.
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

// recordHold writes a hold unless the table has a later state of it, and returns the
// state that the table then has. It is safe to repeat after a lost reply: the row then
// has the hold already.
func recordHold(ctx context.Context, table platform.Table, h choice.Hold) (choice.Hold, error) {
	key := holdPrefix + h.Version
	for range maxRecordAttempts {
		row, err := table.Get(ctx, key)
		if err != nil {
			return h, err
		}
		stored, err := parseHold(row)
		if err != nil {
			return h, err
		}
		if !h.After(stored) {
			return stored, nil
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
		panic(err) // a struct of plain values always encodes
	}
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
}
