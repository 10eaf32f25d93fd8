package quality

// Rounded returns the cell with its numbers cut to single precision. Codecs
// that drop zero bytes then send them in half the bytes; the error, a part in
// ten million, is far below the noise of a rating.
func (c *Cell) Rounded() Cell {
	r := *c
	for _, m := range []*Moments{&r.Long, &r.Mid, &r.Short, &r.Took} {
		m.round()
	}
	cutAll(r.Scores[:])
	cut(&r.Pairs.Count)
	cutAll(r.Pairs.Powers[:])
	cutAll(r.Pairs.Cross[:])
	r.Rescue.round()
	cut(&r.Input)
	cut(&r.Output)
	return r
}

func (r *Rescues) round() {
	r.Moments.round()
	cutAll(r.Scores[:])
	cut(&r.Short)
	cut(&r.ShortSquares)
	cut(&r.Cross)
}

func cutAll(list []float64) {
	for i := range list {
		cut(&list[i])
	}
}

func (m *Moments) round() {
	cut(&m.Weight)
	cut(&m.Sum)
	cut(&m.Squares)
}

func cut(x *float64) { *x = float64(float32(*x)) }
