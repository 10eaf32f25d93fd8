package quality

// pairCentre is the score about which powers of scores are summed, which keeps
// them small.
const pairCentre = 0.5

// Pairs sums up answers that were rated twice. The second rating of an answer
// tells, without bias, what an answer with that first rating is worth.
type Pairs struct {
	Count float64
	// Powers are the sums of the first four powers of the scores about the
	// centre, each pair counted in both orders by half.
	Powers [4]float64
	// Cross are the sums of the products of one score's first and second
	// power with the other score.
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
