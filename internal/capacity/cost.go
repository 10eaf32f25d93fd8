package capacity

// Cost is what something takes of one node.
type Cost struct {
	// Messages a second, sent and received.
	Messages float64 `json:"messages"`
	// Network is in bytes a second, sent and received, packet headers included.
	Network float64 `json:"network"`
	// Processor is the share of one core.
	Processor float64 `json:"processor"`
	// Memory is in bytes of live heap.
	Memory float64 `json:"memory"`
}

// Plus adds costs.
func (c Cost) Plus(o Cost) Cost {
	return Cost{
		Messages: c.Messages + o.Messages, Network: c.Network + o.Network,
		Processor: c.Processor + o.Processor, Memory: c.Memory + o.Memory,
	}
}

// Times scales a cost.
func (c Cost) Times(f float64) Cost {
	return Cost{Messages: c.Messages * f, Network: c.Network * f, Processor: c.Processor * f, Memory: c.Memory * f}
}
