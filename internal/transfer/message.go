package transfer

// PieceSize is the most bytes of a piece. Over 10 Mbit/s one takes 26 ms, and 0.2 s
// beside another transfer and callers that fill half of the link: well within the
// limit of a call.
const PieceSize = 32 << 10

// Ask asks a node for the next piece of what leads from the state that the asker has
// to the newest one.
type Ask struct {
	// From names the asker.
	From string
	// Known is the state that the asker has; 0 for none.
	Known uint64
	// Whole asks for the whole document: an update to the known state did not fit.
	Whole bool
	// Update names the update that the asker has begun, and Offset is how many of its
	// bytes it has; both 0 at the beginning. At the end, Offset is its size.
	Update uint64
	Offset int
}

// Piece answers an ask.
type Piece struct {
	// To is the state that the update leads to; 0 when the sender has nothing newer.
	To uint64
	// Update names the update by a digest of its bytes, Size is how many it has.
	Update uint64
	Size   int
	// Offset is where Data begins: 0 where the sender does not have what the asker
	// has begun.
	Offset int
	Data   []byte
	// Busy says that the sender serves others; Others have the same and may be asked.
	Busy   bool
	Others []string
}
