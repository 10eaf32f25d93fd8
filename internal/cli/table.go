package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// table is human-readable output in columns.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, cell(c))
	}
	t.rows = append(t.rows, row)
}

// cell formats a value. An empty value becomes a dash, so that no cell is blank.
func cell(v any) string {
	text := fmt.Sprint(v)
	switch v := v.(type) {
	case []string:
		text = strings.Join(v, ",")
	case float64:
		text = strconv.FormatFloat(v, 'g', -1, 64)
	case time.Time:
		text = ""
		if !v.IsZero() {
			text = v.UTC().Format(time.RFC3339)
		}
	}
	if text == "" {
		return "-"
	}
	return text
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
