package key

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Bucket names the bills that are settled together.
type Bucket struct {
	Kind   Kind
	Number int64
}

// Prefix is the beginning of the keys of the bucket's rows and objects.
func (b Bucket) Prefix() string { return fmt.Sprintf("bills/%c/%012d/", b.Kind, b.Number) }

// BillsPrefix is the beginning of the keys of all rows of a kind, those of older
// buckets first.
func BillsPrefix(kind Kind) string { return fmt.Sprintf("bills/%c/", kind) }

// BucketOfRow returns the bucket that a row's key names.
func BucketOfRow(row string) (Bucket, error) {
	var b Bucket
	if _, err := fmt.Sscanf(row, "bills/%c/%d/", &b.Kind, &b.Number); err != nil || !strings.HasPrefix(row, b.Prefix()) {
		return Bucket{}, eris.Errorf("no row of bills: %q", row)
	}
	return b, nil
}

// Row is the key of a writer's row.
func (b Bucket) Row(writer string, seq uint64) string {
	return fmt.Sprintf("%s%s/%010d", b.Prefix(), writer, seq)
}

// FoldPrefix is the beginning of the keys of the bucket's folds, each an object
// with the bills of many.
func (b Bucket) FoldPrefix() string { return fmt.Sprintf("folded/%c/%012d/", b.Kind, b.Number) }

// Fold is the key of a process's fold.
func (b Bucket) Fold(process string, number uint64) string {
	return fmt.Sprintf("%s%s/%010d", b.FoldPrefix(), process, number)
}

// Summary is the key of the row that holds the bucket's totals.
func (b Bucket) Summary() string { return fmt.Sprintf("%s%012d", b.SummaryPrefix(), b.Number) }

// PartPrefix is the beginning of the keys of the rows that hold the totals of the
// bucket's parts, until all are there.
func (b Bucket) PartPrefix() string { return fmt.Sprintf("settling/%c/%012d/", b.Kind, b.Number) }

// Part is the key of the row of a part.
func (b Bucket) Part(number uint64) string { return fmt.Sprintf("%s%06d", b.PartPrefix(), number) }

// SummaryPrefix is the beginning of the keys of the summaries of the kind.
func (b Bucket) SummaryPrefix() string { return fmt.Sprintf("settled/%c/", b.Kind) }

// Previous is the bucket before.
func (b Bucket) Previous() Bucket { return Bucket{Kind: b.Kind, Number: b.Number - 1} }

// String returns the bucket's name.
func (b Bucket) String() string { return fmt.Sprintf("%c/%012d", b.Kind, b.Number) }
