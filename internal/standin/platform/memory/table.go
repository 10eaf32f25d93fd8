package memory

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Get implements [platform.Table].
func (p *Platform) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := checkKey(key); err != nil {
		return platform.Row{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Get(key), nil
}

// Scan implements [platform.Table].
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := checkLimit(limit); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Scan(prefix, after, limit), nil
}

// Commit implements [platform.Table].
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	if err := checkTxn(txn); err != nil {
		return platform.CommitResult{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Commit(txn), nil
}
