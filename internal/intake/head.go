package intake

// head counts what has arrived of the head of a request.
type head struct {
	bytes, lines int64
	// lineBytes are the bytes of the current line, without its end.
	lineBytes int64
	// carriage is set if the last byte was a carriage return.
	carriage bool
}

const (
	// lineCost is the memory that a line of a head takes at most: parsed, copied for the request that is
	// forwarded, and encoded.
	lineCost = 320
	// byteCost is the same for a byte.
	byteCost = 3
	// freeHeadCost is the cost of a head that is not reserved. Usual heads take less.
	freeHeadCost = 8 << 10
	// headCostStep is the size in which the rest is reserved.
	headCostStep = 4 << 10
)

// scan counts bytes up to the end of the head. It returns how many of them belong to it.
func (h *head) scan(p []byte) int {
	for i, b := range p {
		switch {
		case b == '\n':
			h.lines++
			empty := h.lineBytes == 0
			h.lineBytes, h.carriage = 0, false
			if empty {
				h.bytes += int64(i + 1)
				return i + 1
			}
		case b == '\r' && h.lineBytes == 0 && !h.carriage:
			h.carriage = true
		default:
			h.lineBytes++
		}
	}
	h.bytes += int64(len(p))
	return len(p)
}

// cost returns how much memory to reserve for the head.
func (h *head) cost() int64 {
	cost := h.bytes*byteCost + h.lines*lineCost - freeHeadCost
	if cost <= 0 {
		return 0
	}
	return (cost + headCostStep - 1) / headCostStep * headCostStep
}
