package quality

// rounded returns the cell with its numbers cut to single precision. Codecs
// that drop zero bytes then send them in half the bytes; the error, a part in
// ten million, is far below the noise of a rating.
func (c *Cell) rounded() Cell {
	r := *c
	for _, m := range []*Moments{&r.Long, &r.Mid, &r.Short, &r.Rescue, &r.Took} {
		m.round()
	}
	for i := range r.Scores {
		cut(&r.Scores[i])
		cut(&r.RescueScores[i])
	}
	cut(&r.Pairs)
	cut(&r.PairSquares)
	cut(&r.Input)
	cut(&r.Output)
	return r
}

func (m *Moments) round() {
	cut(&m.Weight)
	cut(&m.Sum)
	cut(&m.Squares)
}

func cut(x *float64) { *x = float64(float32(*x)) }
