package gossip

import "slices"

// FlightRole says with whom a node exchanges what is under way at upstreams.
//
// Members report to their group's leader, leaders to the first leader of their failure
// domain, and those to each other. So what crosses failure domains grows with their number
// and not with that of the groups.
type FlightRole struct {
	// To is whom the node reports to; empty where it is the first leader of its domain.
	To Member
	// Leads is set where the node reports for its group.
	Leads bool
	// Others are the first leaders of the other failure domains, for the first one of this.
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
