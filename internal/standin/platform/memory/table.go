package memory

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// Get implements [platform.Table].
func (p *Platform) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := checkKey(key); err != nil {
		return platform.Row{}, err
	}
	var row platform.Row
	err := p.read(ctx, fault.Table, p.reads, func(time.Time) {
		row = p.table.Get(key)
	})
	if err != nil {
		return platform.Row{}, err
	}
	return row, nil
}

// Scan implements [platform.Table].
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := checkScan(prefix, after, limit); err != nil {
		return nil, err
	}
	var rows []platform.Row
	err := p.read(ctx, fault.Table, p.reads, func(time.Time) {
		rows = p.table.Scan(prefix, after, limit)
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Commit implements [platform.Table].
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	if err := checkTxn(txn); err != nil {
		return platform.CommitResult{}, err
	}
	txn = cloneTxn(txn)
	var result platform.CommitResult
	err := p.write(ctx, fault.Table, func() bool {
		result = p.commit(txn)
		return result.Applied
	})
	if err != nil {
		return platform.CommitResult{}, err
	}
	return result, nil
}

// commit applies a transaction and counts conflicts.
func (p *Platform) commit(txn platform.Txn) platform.CommitResult {
	result := p.table.Commit(txn)
	if !result.Applied {
		p.conflicts++
	}
	return result
}
