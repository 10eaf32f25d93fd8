package sim

// RunAll plays a configuration with several seeds and joins the results.
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

// merge adds another run of the same configuration.
func (r *Result) merge(o *Result) {
	for i := range r.Classes {
		r.Classes[i].merge(&o.Classes[i])
	}
	r.Polls += o.Polls
	r.Attempts += o.Attempts
	r.Admitted += o.Admitted
	r.Broken += o.Broken
	r.ToStruck += o.ToStruck
	r.WhileStruck += o.WhileStruck
	for i := range r.AskedByOrg {
		r.AskedByOrg[i] += o.AskedByOrg[i]
		r.AnsweredByOrg[i] += o.AnsweredByOrg[i]
	}
	for i := range r.seconds {
		r.seconds[i].offers += o.seconds[i].offers
		r.seconds[i].attempts += o.seconds[i].attempts
	}
	addTo(r.Work, o.Work)
	addTo(r.WorkByOrg, o.WorkByOrg)
	addTo(r.AskedWork, o.AskedWork)
	addTo(r.FirstBySecond, o.FirstBySecond)
	for i := range r.firstCount {
		r.firstCount[i] += o.firstCount[i]
	}
}

func addTo(sum, part []float64) {
	for i := range sum {
		sum[i] += part[i]
	}
}

// average makes the work that of one run.
func (r *Result) average(runs int) {
	r.close()
	for i := range r.Work {
		r.Work[i] /= float64(runs)
	}
	for i := range r.WorkByOrg {
		r.WorkByOrg[i] /= float64(runs)
		r.AskedWork[i] /= float64(runs)
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
	c.First.Merge(o.First)
	c.Total.Merge(o.Total)
}
