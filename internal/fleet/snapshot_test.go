package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// A snapshot stays readable when a shorter one overwrites a longer one, and invalid data
// is not accepted.
func TestRecordsRoundTripAndInvalidDataFails(t *testing.T) {
	is := is.New(t)
	r := testRecord("u1")
	r.Models = []string{"small", "large"}
	data, err := EncodeRecords([]Record{r, testRecord("u2")})
	is.NoErr(err)
	got, err := DecodeRecords(append(data, "left from before"...))
	is.NoErr(err)
	is.Equal(got, []Record{r, testRecord("u2")})
	for _, bad := range [][]byte{nil, []byte("none"), data[:len(data)/2]} {
		_, err := DecodeRecords(bad)
		is.True(err != nil)
	}
}
