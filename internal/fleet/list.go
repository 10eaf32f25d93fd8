package fleet

import (
	"bytes"
	"encoding/gob"
	"github.com/hickorybank/hickorybank/internal/revision"
	"time"

	"github.com/rotisserie/eris"
)

// List is the list of upstreams that one node transfers to another.
type List struct {
	// Records are the listed upstreams.
	Records []Record
	// Retained are upstreams that the sender still uses although the table no longer lists
	// them: their entries may have lapsed during an outage of the table.
	Retained []Record
	// Revision is the table's revision of the list. Clock is the table's own clock at the
	// sender's latest reading.
	Revision revision.Revision
	Clock    time.Duration
}

// encodedList is the encoded form of a [List].
type encodedList struct {
	Records, Retained RecordColumns
	Revision          revision.Revision
	Clock             time.Duration
}

// Encode returns the binary form of the list, uncompressed.
func (l *List) Encode() []byte {
	var out bytes.Buffer
	e := encodedList{NewRecordColumns(l.Records), NewRecordColumns(l.Retained), l.Revision, l.Clock}
	if err := gob.NewEncoder(&out).Encode(&e); err != nil {
		panic(err) // plain slices always encode
	}
	return out.Bytes()
}

// DecodeList decodes the output of [List.Encode]. Incomplete or invalid data is an error.
func DecodeList(data []byte) (List, error) {
	var e encodedList
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&e); err != nil {
		return List{}, eris.Wrap(err, "decode list of upstreams")
	}
	records, ok := e.Records.Records()
	retained, retainedOK := e.Retained.Records()
	if !ok || !retainedOK {
		return List{}, eris.New("decode list of upstreams: columns differ in length")
	}
	return List{Records: records, Retained: retained, Revision: e.Revision, Clock: e.Clock}, nil
}
