package sim

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	table = flag.String("table", "", "write the table of this name")
	seeds = flag.String("seeds", "1,2,3,4", "the seeds of its runs")
)

// TestTable writes a table for docs/measurements/load.md. It is a tool and checks no
// results.
func TestTable(t *testing.T) {
	if *table == "" {
		t.Skip("no -table named")
	}
	is := is.New(t)
	var list []uint64
	for _, text := range strings.Split(*seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		is.NoErr(err)
		list = append(list, seed)
	}
	is.NoErr(WriteTable(os.Stdout, *table, list))
}
