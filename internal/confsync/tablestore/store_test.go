package tablestore

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

func TestStoreReadsAdminRows(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := memory.New()
	store := New(table)

	head, err := store.Head(ctx)
	is.NoErr(err)
	is.Equal(head, uint64(0)) // nothing is stored yet

	tarifas, err := example.Load("tarifas")
	is.NoErr(err)
	_, applied, err := admin.NewStore(table).Put(ctx, 0, tarifas, "w1")
	is.NoErr(err)
	is.True(applied)
	head, err = store.Head(ctx)
	is.NoErr(err)
	is.Equal(head, uint64(1))
	encoded, err := store.Document(ctx, 1)
	is.NoErr(err)
	is.True(len(encoded) > 0)
	_, err = store.Document(ctx, 2)
	is.True(err != nil) // a missing document is an error
}

func TestDeltasAreConsecutive(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := memory.New()
	for revision := uint64(8); revision <= 12; revision++ {
		value, err := confsync.EncodeDelta(archive.Delta{From: revision - 1, To: revision, Edits: []byte("e")})
		is.NoErr(err)
		_, err = table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: confsync.DeltaKey(revision), Value: value}}})
		is.NoErr(err)
	}
	cases := []struct {
		after, upTo uint64
		want        int
	}{{8, 12, 4}, {11, 12, 1}, {12, 12, 0}, {9, 10, 1}, {12, 14, 0}, {0, 1000, 0}}
	for _, c := range cases {
		deltas, err := New(table).Deltas(ctx, c.after, c.upTo)
		is.NoErr(err)
		is.Equal(len(deltas), c.want)
		for i, d := range deltas {
			is.Equal(d.From, c.after+uint64(i)) // consecutive
		}
	}
}
