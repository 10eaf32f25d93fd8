package entryqueue

import "time"

// place is a refused request's first arrival and when it was asked to return.
type place struct{ arrived, due time.Time }

// returns keeps the places of refused requests, the latest maxReturns.
type returns struct {
	byID  map[string]place
	order []string
}

func returnKey(r Request) string { return r.Organisation + "\x00" + r.ID }

// keep records a refusal.
func (p *returns) keep(r Request, arrived, due time.Time) {
	key := returnKey(r)
	if _, known := p.byID[key]; !known {
		p.order = append(p.order, key)
	}
	p.byID[key] = place{arrived, due}
	if len(p.order) > maxReturns {
		delete(p.byID, p.order[0])
		p.order = p.order[1:]
	}
}

// arrival returns when a request counts as arrived: at its first refusal if it returns no
// earlier than it was asked to. One that is repeated without pause has no earlier place.
func (p *returns) arrival(r Request, now time.Time) time.Time {
	if at, ok := p.byID[returnKey(r)]; ok && r.ID != "" && !now.Before(at.due) {
		return at.arrived
	}
	return now
}
