package capacity

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Render returns the generated part of the page.
func Render(r Report) string {
	var b strings.Builder
	b.WriteString("This part is written by `hickorybank capacity --write docs/CAPACITY.md`;\n`--render` works it out again from the points below. A test fails when it is\nedited by hand, or when the model or a setting that it uses has changed. There\nis one table for all regions, as the code has it.\n")
	r.summary(&b)
	r.roles(&b)
	r.over(&b)
	r.tables(&b)
	r.assumptions(&b)
	r.slopes(&b)
	r.badDays(&b)
	return b.String()
}

func (r Report) summary(b *strings.Builder) {
	section(b, "In short")
	each, mended, data := r.Single.Each, r.Single.Mended, r.Single.Data
	b.WriteString(head("at the peak, a node", "processor, of a core", "memory", "network, in and out", "messages a second", "within the budget?"))
	b.WriteString(row("the budget for control", cores(r.Budget.Processor), amount(r.Budget.Memory), amount(r.Budget.Network)+"/s", "", ""))
	b.WriteString(row("control, average node", cores(each.Processor), amount(each.Memory), amount(each.Network)+"/s", short(each.Messages), r.verdict(each)))
	for _, duty := range r.Single.Worst[:min(3, len(r.Single.Worst))] {
		w := duty.Cost
		b.WriteString(row("control, a node that has the duty of “"+duty.Role+"” at its most", cores(w.Processor), amount(w.Memory), amount(w.Network)+"/s", short(w.Messages), r.verdict(w)))
	}
	b.WriteString(row("control, average node, if all that is listed below were mended (worked out)", cores(mended.Processor), amount(mended.Memory), amount(mended.Network)+"/s", short(mended.Messages), r.verdict(mended)))
	b.WriteString(row("requests and answers (no budget given)", cores(data.Processor), amount(data.Memory), "not counted", short(data.Messages), ""))
}

// verdict names what of the budget a cost exceeds.
func (r Report) verdict(c Cost) string {
	var over []string
	add := func(name string, part, whole float64) {
		if part > whole {
			over = append(over, fmt.Sprintf("%s %s times", name, short(part/whole)))
		}
	}
	add("processor", c.Processor, r.Budget.Processor)
	add("memory", c.Memory, r.Budget.Memory)
	add("network", c.Network, r.Budget.Network)
	if len(over) == 0 {
		return "yes"
	}
	return "**no**: " + strings.Join(over, ", ")
}

func (r Report) roles(b *strings.Builder) {
	section(b, "Roles")
	b.WriteString("A second figure is the busiest node's, where there is one. Each role alone is\nheld against the whole budget; the sums are above.\n\n")
	b.WriteString(head("role", "state", "messages/s", "network", "processor", "memory", "mechanism", "within budget?"))
	for _, role := range r.Single.Roles {
		b.WriteString(row(r.roleCells(role)...))
	}
}

func (r Report) roleCells(role Role) []string {
	verdict := r.verdict(role.Busiest)
	if role.Plane != Control {
		verdict = "no budget (data)"
	}
	if role.Who != "" {
		verdict += "; busiest: " + role.Who
	}
	e, w := role.Each, role.Busiest
	return []string{
		role.Name, role.State,
		pair(role.Who != "", short(e.Messages), short(w.Messages)),
		pair(role.Who != "", amount(e.Network)+"/s", amount(w.Network)+"/s"),
		pair(role.Who != "", cores(e.Processor), cores(w.Processor)),
		pair(role.Who != "", amount(e.Memory), amount(w.Memory)),
		role.Mechanism, verdict,
	}
}

func pair(two bool, each, busiest string) string {
	if !two {
		return each
	}
	return each + "; " + busiest
}

func (r Report) over(b *strings.Builder) {
	section(b, "Where the budget is not met, and what would meet it")
	for _, role := range r.Single.Roles {
		if role.Over == "" || r.Budget.Within(role.Busiest) {
			continue
		}
		fmt.Fprintf(b, "- *%s*, the busiest node over the budget: %s. %s An average node: %s/s, %s, %s now; %s/s, %s, %s then.\n", role.Name, strings.TrimPrefix(r.verdict(role.Busiest), "**no**: "), role.Over,
			amount(role.Each.Network), cores(role.Each.Processor), amount(role.Each.Memory), amount(role.Mended.Network), cores(role.Mended.Processor), amount(role.Mended.Memory))
	}
	r.left(b)
}

// left says what stays over the budget when all that is listed is mended.
func (r Report) left(b *strings.Builder) {
	var memory []Role
	var requests float64
	for _, role := range r.Single.Roles {
		if role.Plane != Control {
			continue
		}
		memory = append(memory, role)
		if role.PerRequest {
			requests += role.Mended.Network
		}
	}
	slices.SortStableFunc(memory, func(a, b Role) int { return cmp.Compare(b.Mended.Memory, a.Mended.Memory) })
	mended := r.Single.Mended
	fmt.Fprintf(b, "\nWhat stays over: *network*, %s/s a node, of which %s/s follow the requests (bills,\nclaims, addresses) and %s/s are control that does not. *Memory*, %s a node:\n", amount(mended.Network), amount(requests), amount(mended.Network-requests), amount(mended.Memory))
	for _, role := range memory[:min(4, len(memory))] {
		fmt.Fprintf(b, "%s for %s, ", amount(role.Mended.Memory), role.Name)
	}
	process, list := r.memoryOf("the process itself"), r.memoryOf("the VM list")
	regional := mended.Memory - list + list/float64(r.Size.Regions)
	const tight = 1.25 // a collector that runs at a quarter above the live heap
	tighter := func(all float64) float64 { return process + (all-process)/r.Assumptions.HeapFactor*tight }
	fmt.Fprintf(b, "and small\nparts. Every node knows every VM in three forms (the list's text for its children,\nthe members' picture, the balancer's order). With the list cut by region it would\nbe %s, with a collector that lets the heap grow by a quarter only (and costs\nprocessor time, not measured) %s, with both %s.\n", amount(regional), amount(tighter(mended.Memory)), amount(tighter(regional)))
}

// memoryOf is a role's memory once it is mended.
func (r Report) memoryOf(name string) float64 {
	for _, role := range r.Single.Roles {
		if role.Name == name {
			return role.Mended.Memory
		}
	}
	return 0
}
