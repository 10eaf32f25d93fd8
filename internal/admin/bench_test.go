package admin

import (
	"context"
	"fmt"
	"testing"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// counting counts what a change asks of the table.
type counting struct {
	platform.Table
	reads, writes int
	bytes         int
}

func (c *counting) Get(ctx context.Context, key string) (platform.Row, error) {
	c.reads++
	return c.Table.Get(ctx, key)
}

func (c *counting) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	c.reads++
	return c.Table.Scan(ctx, prefix, after, limit)
}

func (c *counting) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	c.writes++
	for _, w := range txn.Writes {
		c.bytes += len(w.Value)
	}
	return c.Table.Commit(ctx, txn)
}

// BenchmarkChange makes changes of one weight in documents of several sizes.
func BenchmarkChange(b *testing.B) {
	for _, organisations := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			table := &counting{Table: memory.New()}
			store := NewStore(table)
			ctx := context.Background()
			if _, _, err := store.Put(ctx, 0, grown(b, organisations), "first"); err != nil {
				b.Fatal(err)
			}
			table.reads, table.writes, table.bytes = 0, 0, 0
			base := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				_, err := store.Apply(ctx, Change{ID: fmt.Sprint("c", base), Base: base, Edit: func(d *config.Document) (*config.Document, error) {
					d.Organisations[0].Weight++
					return d, nil
				}})
				if err != nil {
					b.Fatal(err)
				}
				base++
			}
			b.ReportMetric(float64(table.reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(table.writes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(table.bytes)/float64(b.N), "written-B/op")
		})
	}
}

// grown is the tarifas example with more organisations.
func grown(b *testing.B, organisations int) *config.Document {
	doc, err := example.Load("tarifas")
	if err != nil {
		b.Fatal(err)
	}
	like := doc.Organisations[0]
	for i := len(doc.Organisations); i < organisations; i++ {
		o := like
		o.Name = fmt.Sprintf("org-%d", i)
		o.KeyHashes = []string{config.HashKey(o.Name)}
		doc.Organisations = append(doc.Organisations, o)
	}
	return doc
}
