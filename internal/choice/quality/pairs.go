package quality

// pairCentre is subtracted from scores before their powers are summed, which keeps the
// sums small.
const pairCentre = 0.5

// Pairs summarises answers that were rated twice. The second rating is an unbiased
// estimate of the quality of an answer with that first rating.
type Pairs struct {
	Count float64
	// Powers are the sums of the first four powers of the centred scores. Each pair is
	// counted in both orders with weight one half.
	Powers [4]float64
	// Cross are the sums of the first and second power of one score times the other
	// score.
	Cross [2]float64
}

func (p *Pairs) add(first, second float64) {
	p.Count++
	p.addOrder(first-pairCentre, second-pairCentre)
	p.addOrder(second-pairCentre, first-pairCentre)
}

func (p *Pairs) addOrder(u, v float64) {
	power := 0.5
	for i := range p.Powers {
		power *= u
		p.Powers[i] += power
	}
	p.Cross[0] += u * v / 2
	p.Cross[1] += u * u * v / 2
}

func (p *Pairs) plus(o Pairs) {
	p.Count += o.Count
	for i := range p.Powers {
		p.Powers[i] += o.Powers[i]
	}
	for i := range p.Cross {
		p.Cross[i] += o.Cross[i]
	}
}

func (p *Pairs) scale(f float64) {
	p.Count *= f
	for i := range p.Powers {
		p.Powers[i] *= f
	}
	for i := range p.Cross {
		p.Cross[i] *= f
	}
}
