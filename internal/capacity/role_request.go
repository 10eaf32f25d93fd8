package capacity

import "fmt"

// waitingOrgs is how many organisations wait in a pool of an overloaded node.
const waitingOrgs = 32

// requests is the way of a request and its answer through a node.
func (c *calc) requests() Role {
	rate := c.Size.perNode(c.Size.Requests)
	tokens := c.Size.TokensPerRequest()
	return Role{
		Name: "callers and upstreams: answers", Plane: Data,
		State:     fmt.Sprintf("%.0f streams at once, each with two connections", c.Size.Streams()),
		Mechanism: "net/http, one goroutine a request; packages api, lifecycle, upstream/client",
		Each: Cost{
			Messages:  2 * c.Size.perNode(c.Size.Tokens),
			Processor: processor(rate, c.at("stream.answer", tokens)),
			Memory:    c.memory(c.Size.Streams() * c.per("stream.heap")),
		},
	}
}

// decisions are the cores that each request passes.
func (c *calc) decisions() Role {
	rate := c.Size.perNode(c.Size.Requests)
	each := c.at("admission.offer", waitingOrgs) + c.at("admission.allow", c.Assume.Organisations) +
		c.at("choice.choose", docVersionsPerOrg) + c.at("balance.pick", float64(c.Size.Runners)) +
		c.at("session.read", 2) + c.at("telemetry.observe", c.pairs())
	return Role{
		Name: "decisions of a request", Plane: Data,
		State:     "queues and limits of a pool for each version; in-flight counts",
		Mechanism: "cores without I/O: admission, choice, balance, session, telemetry",
		Each:      Cost{Processor: processor(rate, each)},
	}
}

// pairs is how many pairs of organisation and class a node has metrics of.
func (c *calc) pairs() float64 {
	return min(float64(telemetryBound), c.Assume.ActiveOrganisations*c.Assume.Classes)
}
