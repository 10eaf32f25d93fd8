package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestRecordsOutliveTheProcess guards against a snapshot that can't be read: one that has
// been written over by a shorter one, and bytes that are none.
func TestRecordsOutliveTheProcess(t *testing.T) {
	is := is.New(t)
	r := record("u1")
	r.Models = []string{"small", "large"}
	data, err := EncodeRecords([]Record{r, record("u2")})
	is.NoErr(err)
	got, err := DecodeRecords(append(data, "left from before"...))
	is.NoErr(err)
	is.Equal(got, []Record{r, record("u2")})
	for _, bad := range [][]byte{nil, []byte("none"), data[:len(data)/2]} {
		_, err := DecodeRecords(bad)
		is.True(err != nil)
	}
}
