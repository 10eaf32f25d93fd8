package platform

import "context"

// Objects is the platform's object store. Put replaces the whole object.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns the object; ok is false when there is none.
	Get(ctx context.Context, key string) (value []byte, ok bool, err error)
	// List returns the keys that begin with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
}
