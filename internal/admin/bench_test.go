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

// countingTable counts the reads, commits and written bytes of a table.
type countingTable struct {
	platform.Table
	reads, writes int
	bytes         int
}

func (c *countingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	c.reads++
	return c.Table.Get(ctx, key)
}

func (c *countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	c.reads++
	return c.Table.Scan(ctx, prefix, after, limit)
}

func (c *countingTable) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	c.writes++
	for _, w := range txn.Writes {
		c.bytes += len(w.Value)
	}
	return c.Table.Commit(ctx, txn)
}

// BenchmarkChange measures changes of one organisation's weight in documents of several sizes.
func BenchmarkChange(b *testing.B) {
	for _, organisations := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			table := &countingTable{Table: memory.New()}
			store := NewStore(table)
			ctx := context.Background()
			if _, _, err := store.Put(ctx, 0, tarifasWithOrganisations(b, organisations), "first"); err != nil {
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

// tarifasWithOrganisations returns the tarifas example with organisations added up to that number.
func tarifasWithOrganisations(b *testing.B, organisations int) *config.Document {
	doc, err := example.Load("tarifas")
	if err != nil {
		b.Fatal(err)
	}
	template := doc.Organisations[0]
	for i := len(doc.Organisations); i < organisations; i++ {
		o := template
		o.Name = fmt.Sprintf("org-%d", i)
		o.KeyHashes = []string{config.HashKey(o.Name)}
		doc.Organisations = append(doc.Organisations, o)
	}
	return doc
}
