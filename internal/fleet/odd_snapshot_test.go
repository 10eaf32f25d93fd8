package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Fails if a small snapshot, as another writer may leave it, takes memory without bound.
func TestDecompressedSnapshotIsBounded(t *testing.T) {
	is := is.New(t)
	data, err := EncodeRecords([]Record{{ID: "u", Service: strings.Repeat("s", 2*maxRecordsBytes)}})
	is.NoErr(err)
	is.True(len(data) < maxRecordsBytes/100)
	_, err = DecodeRecords(data)
	is.True(err != nil)
	var all []Record
	for i := range 10_000 {
		all = append(all, Record{ID: fmt.Sprintf("i-%08x-%08x", i, i), Born: int64(i) << 40, Service: "s", Addr: fmt.Sprintf("10.1.%d.%d:8080", i/256, i%256), Domain: "d", Version: "v1", Slots: 48})
	}
	data, err = EncodeRecords(all)
	is.NoErr(err)
	decoded, err := DecodeRecords(data)
	is.NoErr(err)
	is.Equal(len(decoded), len(all))
}
