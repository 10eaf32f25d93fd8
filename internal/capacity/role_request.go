package capacity

import "fmt"

// waitingOrgs is the number of organisations waiting in a pool of an overloaded node.
const waitingOrgs = 32

// requests is the cost of a request and its answer through a whole node.
func (c *calc) requests() Role {
	rate := c.Size.perNode(c.Size.Requests)
	tokens := c.Size.TokensPerRequest()
	return Role{
		Name: "callers and upstreams: requests and answers", Plane: Data,
		State:     fmt.Sprintf("%.0f streams at once, each with two connections", c.Size.Streams()),
		Mechanism: fmt.Sprintf("net/http, one goroutine a request; a whole node takes %.2f ms a request and %.0f µs a token", c.at("node.answer", 0)/1e6, c.perUnit("node.answer")/1e3),
		Average: Cost{
			Messages:  2 * c.Size.perNode(c.Size.Tokens),
			Processor: processor(rate, c.at("node.answer", tokens)),
			Memory:    c.memory(c.Size.Streams() * c.perUnit("stream.heap")),
		},
	}
}

// proxying is the part of requests that any proxy has.
func (c *calc) proxying() Role {
	return Role{
		Name: "of which: HTTP, events and the life of a request", Plane: Part,
		State:     "a machine for each request",
		Mechanism: "packages api, lifecycle, upstream/client",
		Average:   Cost{Processor: processor(c.Size.perNode(c.Size.Requests), c.at("stream.answer", c.Size.TokensPerRequest()))},
	}
}

// decisions is the part of requests spent in decision code without I/O.
func (c *calc) decisions() Role {
	rate := c.Size.perNode(c.Size.Requests)
	each := c.at("admission.offer", waitingOrgs) + c.at("admission.allow", c.Assume.Organisations) +
		c.at("choice.choose", docVersionsPerOrg) + c.at("balance.pick", float64(c.Size.Runners)) +
		c.at("session.read", 2) + c.at("suspect.attempt", float64(c.Size.Nodes)) + c.at("telemetry.observe", c.pairs())
	return Role{
		Name: "of which: decisions", Plane: Part,
		State:     "queues and limits of a pool for each version; in-flight counts",
		Mechanism: "cores without I/O: admission, choice, balance, session, suspect, telemetry",
		Average:   Cost{Processor: processor(rate, each)},
	}
}

// pairs returns the number of pairs of organisation and class with metrics on a node.
func (c *calc) pairs() float64 {
	return min(float64(telemetryBound), c.Assume.ActiveOrganisations*c.Assume.Classes)
}
