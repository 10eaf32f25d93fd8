package transfer

// PieceSize is the maximum size of a piece in bytes. Over 10 Mbit/s a piece takes 26 ms,
// and 0.2 s beside another transfer and callers that use half of the link: well within the
// timeout of a call.
const PieceSize = 32 << 10

// Document identifies a document that nodes transfer to each other.
type Document uint8

const (
	// Config is the configuration.
	Config Document = iota
	// List is the list of upstreams.
	List
)

// String returns the document's label value in metrics.
func (d Document) String() string {
	if d == List {
		return "list"
	}
	return "config"
}

// Ask requests the next piece of the update that leads from the requester's state to the
// newest state.
type Ask struct {
	// From is the ID of the requesting node.
	From     string
	Document Document
	// Known is the tag of the requester's state; 0 for none.
	Known uint64
	// Whole requests the full document, because an update could not be applied to the
	// known state.
	Whole bool
	// Update identifies the update in progress, and Offset is the number of its bytes
	// already received; both are 0 at the start. An Offset equal to the update's size
	// acknowledges completion.
	Update uint64
	Offset int
}

// Piece is the response to an [Ask].
type Piece struct {
	// To is the tag of the state that the update leads to; 0 if the sender has nothing
	// newer.
	To uint64
	// Update identifies the update by a hash of its bytes; Size is its length in bytes.
	Update uint64
	Size   int
	// Offset is the position of Data in the update. It is 0 if the sender does not have
	// the update that the requester has in progress.
	Offset int
	Data   []byte
	// Busy is set if the sender is at its limit of concurrent transfers. Others are the
	// IDs of nodes that have the same state and may be asked instead.
	Busy   bool
	Others []string
}
