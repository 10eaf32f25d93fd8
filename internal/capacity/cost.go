package capacity

// Cost is the load of a role on one node.
type Cost struct {
	// Messages is the number of messages per second, sent and received.
	Messages float64 `json:"messages"`
	// Network is in bytes per second, sent and received, including packet headers.
	Network float64 `json:"network"`
	// Processor is a fraction of one core.
	Processor float64 `json:"processor"`
	// Memory is in bytes of live heap.
	Memory float64 `json:"memory"`
}

// Plus returns the sum of two costs.
func (c Cost) Plus(o Cost) Cost {
	return Cost{
		Messages: c.Messages + o.Messages, Network: c.Network + o.Network,
		Processor: c.Processor + o.Processor, Memory: c.Memory + o.Memory,
	}
}

// Times returns the cost multiplied by f.
func (c Cost) Times(f float64) Cost {
	return Cost{Messages: c.Messages * f, Network: c.Network * f, Processor: c.Processor * f, Memory: c.Memory * f}
}
