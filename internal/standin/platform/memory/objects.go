package memory

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
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
	value = bytes.Clone(value)
	return o.p.write(ctx, fault.Objects, func() bool {
		o.p.objects[key] = value
		return true
	})
}

// Get implements [platform.Objects].
func (o objects) Get(ctx context.Context, key string) ([]byte, bool, error) {
	if err := checkKey(key); err != nil {
		return nil, false, err
	}
	var value []byte
	var ok bool
	err := o.p.read(ctx, fault.Objects, o.p.reads, func(time.Time) {
		value, ok = o.p.objects[key]
	})
	if err != nil {
		return nil, false, err
	}
	return bytes.Clone(value), ok, nil
}

// List implements [platform.Objects].
func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := o.p.read(ctx, fault.Objects, o.p.reads, func(time.Time) {
		keys = o.p.objectKeys(prefix)
	})
	return keys, err
}

// objectKeys returns the sorted keys of the objects under a prefix.
func (p *Platform) objectKeys(prefix string) []string {
	var keys []string
	for key := range p.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
