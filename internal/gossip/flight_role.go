package gossip

import "slices"

// FlightRole is a node's place in the exchange of in-flight work at upstreams.
//
// Members report to their group's leader, leaders to the first leader of their failure
// domain, and first leaders to each other. Traffic between failure domains therefore grows
// with the number of domains, not of groups.
type FlightRole struct {
	// To is the node that this node reports to; empty for the first leader of a domain.
	To Member
	// Leads is set if the node reports for its group.
	Leads bool
	// Others are the first leaders of the other failure domains; set only for the first
	// leader of a domain.
	Others []Member
}

// FlightRole returns this node's role.
func (r *Roster) FlightRole() FlightRole {
	leader := r.Group()[0]
	if leader.ID != r.self.ID {
		return FlightRole{To: leader}
	}
	firsts := r.firstLeaders()
	own := slices.IndexFunc(firsts, func(m Member) bool { return m.Domain == leader.Domain })
	if firsts[own].ID != r.self.ID {
		return FlightRole{To: firsts[own], Leads: true}
	}
	return FlightRole{Leads: true, Others: slices.Delete(firsts, own, own+1)}
}

// firstLeaders returns the first leader of each failure domain that has one.
func (r *Roster) firstLeaders() (firsts []Member) {
	for _, group := range r.Groups() {
		known := slices.ContainsFunc(firsts, func(m Member) bool { return m.Domain == group[0].Domain })
		if !known {
			firsts = append(firsts, group[0])
		}
	}
	return firsts
}
