package platform

import "context"

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one row; an absent row has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads rows whose key begins with prefix and sorts after the key
	// after, in key order, at most limit.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes if every condition holds, else none.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
}
