package platform

import "context"

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one row; an absent row has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads at most limit rows in key order. Their keys begin with prefix and are
	// greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit atomically applies all writes if every condition holds, otherwise none. A
	// failed condition is not an error: the result has Applied false.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
}
