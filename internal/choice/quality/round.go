package quality

// Rounded returns the cell with its numbers rounded to single precision. Codecs that omit
// zero bytes then encode them in half the size. The relative error of about 1e-7 is far
// below the noise of a rating.
func (c *Cell) Rounded() Cell {
	r := *c
	for _, m := range []*Moments{&r.Long, &r.Mid, &r.Short, &r.Took} {
		m.round()
	}
	roundAll(r.Scores[:])
	roundToSingle(&r.Pairs.Count)
	roundAll(r.Pairs.Powers[:])
	roundAll(r.Pairs.Cross[:])
	r.Rescue.round()
	roundToSingle(&r.Input)
	roundToSingle(&r.Output)
	return r
}

func (r *Fallbacks) round() {
	r.Moments.round()
	roundAll(r.Scores[:])
	roundToSingle(&r.Short)
	roundToSingle(&r.ShortSquares)
	roundToSingle(&r.Cross)
}

func roundAll(list []float64) {
	for i := range list {
		roundToSingle(&list[i])
	}
}

func (m *Moments) round() {
	roundToSingle(&m.Weight)
	roundToSingle(&m.Sum)
	roundToSingle(&m.Squares)
}

func roundToSingle(x *float64) { *x = float64(float32(*x)) }
