package engine_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
)

// BenchmarkAnswer measures complete answers of 16 chunks over loopback, in parallel.
func BenchmarkAnswer(b *testing.B) {
	r := newRig(b, engine.Settings{BatchLimit: 256, TokensPerAnswer: 16})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			st, err := r.client.Start(context.Background(), r.server.Addr(), attempt(fmt.Sprintf("%p-%d", pb, n), "v1", "hello"))
			if err != nil {
				b.Error(err)
				return
			}
			if _, err := readAll(st); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
