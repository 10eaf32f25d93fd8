package sim

// RunAll runs a configuration once per seed and merges the results. Counts are sums
// over the runs, work is averaged. It fails if the configuration is invalid.
func RunAll(cfg Config, seeds []uint64) (*Result, error) {
	var all *Result
	for _, seed := range seeds {
		cfg.Seed = seed
		r, err := run(cfg)
		if err != nil {
			return nil, err
		}
		if all == nil {
			all = r
			continue
		}
		all.merge(r)
	}
	all.average(len(seeds))
	return all, nil
}

// merge adds the result of another run of the same configuration.
func (r *Result) merge(o *Result) {
	for i := range r.Classes {
		r.Classes[i].merge(&o.Classes[i])
	}
	r.Polls += o.Polls
	r.Attempts += o.Attempts
	r.Admitted += o.Admitted
	r.Broken += o.Broken
	r.AttemptsToFaulty += o.AttemptsToFaulty
	r.AttemptsDuringFaults += o.AttemptsDuringFaults
	for i := range r.RequestsByOrg {
		r.RequestsByOrg[i] += o.RequestsByOrg[i]
		r.AnsweredByOrg[i] += o.AnsweredByOrg[i]
	}
	for i := range r.seconds {
		r.seconds[i].offers += o.seconds[i].offers
		r.seconds[i].attempts += o.seconds[i].attempts
	}
	addElements(r.Work, o.Work)
	addElements(r.WorkByOrg, o.WorkByOrg)
	addElements(r.RequestedWork, o.RequestedWork)
	addElements(r.FirstTokenBySecond, o.FirstTokenBySecond)
	for i := range r.firstTokenCount {
		r.firstTokenCount[i] += o.firstTokenCount[i]
	}
}

func addElements(sum, other []float64) {
	for i := range sum {
		sum[i] += other[i]
	}
}

// average computes the means and divides the work by the number of runs.
func (r *Result) average(runs int) {
	r.computeMeans()
	for i := range r.Work {
		r.Work[i] /= float64(runs)
	}
	for i := range r.WorkByOrg {
		r.WorkByOrg[i] /= float64(runs)
		r.RequestedWork[i] /= float64(runs)
	}
}

func (c *ClassResult) merge(o *ClassResult) {
	c.Requests += o.Requests
	c.Offers += o.Offers
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Late += o.Late
	c.Completed += o.Completed
	c.Cached += o.Cached
	c.FirstToken.Merge(o.FirstToken)
	c.Total.Merge(o.Total)
}
