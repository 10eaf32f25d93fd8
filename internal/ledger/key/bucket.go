package key

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Bucket identifies a set of bills that are summarised together: those of one kind
// of key in one span of time.
type Bucket struct {
	Kind Kind
	// Number counts spans of time since 1970; [Layout.Span] gives their length.
	Number int64
}

// Prefix returns the key prefix of the bucket's rows and objects.
func (b Bucket) Prefix() string { return fmt.Sprintf("bills/%c/%012d/", b.Kind, b.Number) }

// BillsPrefix returns the key prefix of all rows of a kind. Rows of older buckets
// sort first.
func BillsPrefix(kind Kind) string { return fmt.Sprintf("bills/%c/", kind) }

// BucketOfRow parses the bucket from a row's key. It returns an error if the key is
// not that of a row of bills.
func BucketOfRow(rowKey string) (Bucket, error) {
	var b Bucket
	if _, err := fmt.Sscanf(rowKey, "bills/%c/%d/", &b.Kind, &b.Number); err != nil || !strings.HasPrefix(rowKey, b.Prefix()) {
		return Bucket{}, eris.Errorf("not the key of a row of bills: %q", rowKey)
	}
	return b, nil
}

// Row returns the key of a writer's row with the given sequence number.
func (b Bucket) Row(writer string, seq uint64) string {
	return fmt.Sprintf("%s%s/%010d", b.Prefix(), writer, seq)
}

// CompactedPrefix returns the key prefix of the bucket's compacted objects, each of which
// holds the bills of many small objects.
func (b Bucket) CompactedPrefix() string { return fmt.Sprintf("folded/%c/%012d/", b.Kind, b.Number) }

// Compacted returns the key of a compacted object by the process that writes it and that
// process's number for it.
func (b Bucket) Compacted(process string, number uint64) string {
	return fmt.Sprintf("%s%s/%010d", b.CompactedPrefix(), process, number)
}

// Summary returns the key of the row that holds the bucket's totals.
func (b Bucket) Summary() string { return fmt.Sprintf("%s%012d", b.SummaryPrefix(), b.Number) }

// PartPrefix returns the key prefix of the rows that hold partial totals of the
// bucket. They exist only until the summary is complete.
func (b Bucket) PartPrefix() string { return fmt.Sprintf("settling/%c/%012d/", b.Kind, b.Number) }

// Part returns the key of the row with one part's totals.
func (b Bucket) Part(number uint64) string { return fmt.Sprintf("%s%06d", b.PartPrefix(), number) }

// SummaryPrefix returns the key prefix of all summaries of the bucket's kind.
func (b Bucket) SummaryPrefix() string { return fmt.Sprintf("settled/%c/", b.Kind) }

// Previous returns the bucket of the preceding span of time.
func (b Bucket) Previous() Bucket { return Bucket{Kind: b.Kind, Number: b.Number - 1} }

// String returns the kind and number of the bucket as they stand in row keys.
func (b Bucket) String() string { return fmt.Sprintf("%c/%012d", b.Kind, b.Number) }
