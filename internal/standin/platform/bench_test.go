package platform_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/hickorybank/hickorybank/internal/platform"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// BenchmarkCommit compares commits in the process with commits over HTTP, from one
// caller and from many. Each commit writes one row of 1 KiB under one condition.
func BenchmarkCommit(b *testing.B) {
	b.Run("memory", func(b *testing.B) { commitSequential(b, memory.New()) })
	b.Run("client", func(b *testing.B) {
		_, c := start(b, standin.Settings{})
		commitSequential(b, c)
	})
	b.Run("client-parallel", func(b *testing.B) {
		_, c := start(b, standin.Settings{})
		commitParallel(b, c)
	})
}

// valueSize is the size of a written value, in bytes.
const valueSize = 1 << 10

func commitSequential(b *testing.B, table platform.Table) {
	b.ReportAllocs()
	var version uint64
	value := make([]byte, valueSize)
	for b.Loop() {
		version = commitOnce(b, table, "row", version, value)
	}
}

func commitParallel(b *testing.B, table platform.Table) {
	b.ReportAllocs()
	var next atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		key := fmt.Sprintf("row/%d", next.Add(1))
		value := make([]byte, valueSize)
		var version uint64
		for pb.Next() {
			version = commitOnce(b, table, key, version, value)
		}
	})
}

func commitOnce(b *testing.B, table platform.Table, key string, version uint64, value []byte) uint64 {
	result, err := table.Commit(b.Context(), platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	if err != nil || !result.Applied {
		b.Error(result, err)
	}
	return result.Version
}
