package platform

import "context"

// Objects is the platform's object store.
type Objects interface {
	// Put creates the object or replaces it as a whole.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns the object; ok is false if it does not exist.
	Get(ctx context.Context, key string) (value []byte, ok bool, err error)
	// List returns the keys that begin with prefix, in ascending order.
	List(ctx context.Context, prefix string) ([]string, error)
}
