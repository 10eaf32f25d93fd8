package memory

import (
	"bytes"
	"context"
	"slices"
	"strings"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// objects is the object store of a Platform.
type objects struct{ p *Platform }

var _ platform.Objects = objects{}

// Put implements [platform.Objects].
func (o objects) Put(ctx context.Context, key string, value []byte) error {
	if err := checkKey(key); err != nil {
		return err
	}
	if len(value) > MaxObject {
		return invalid("object %q has %d bytes; at most %d", key, len(value), MaxObject)
	}
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	o.p.objects[key] = bytes.Clone(value)
	return nil
}

// Get implements [platform.Objects].
func (o objects) Get(ctx context.Context, key string) ([]byte, bool, error) {
	if err := checkKey(key); err != nil {
		return nil, false, err
	}
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	value, ok := o.p.objects[key]
	return bytes.Clone(value), ok, nil
}

// List implements [platform.Objects].
func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	var keys []string
	for key := range o.p.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}
