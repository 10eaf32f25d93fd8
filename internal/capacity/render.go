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
	each, mended, data := r.Single.Average, r.Single.Mitigated, r.Single.Data
	b.WriteString(tableHead("at the peak, a node", "processor, of a core", "memory", "network, in and out", "messages a second", "within the budget?"))
	b.WriteString(tableRow("the budget for control", formatPercent(r.Budget.Processor), formatBytes(r.Budget.Memory), formatBytes(r.Budget.Network)+"/s", "", ""))
	b.WriteString(tableRow("control, average node", formatPercent(each.Processor), formatBytes(each.Memory), formatBytes(each.Network)+"/s", formatShort(each.Messages), r.verdict(each)))
	for _, duty := range r.Single.Worst[:min(3, len(r.Single.Worst))] {
		w := duty.Cost
		b.WriteString(tableRow("control, a node that has the duty of “"+duty.Role+"” at its most", formatPercent(w.Processor), formatBytes(w.Memory), formatBytes(w.Network)+"/s", formatShort(w.Messages), r.verdict(w)))
	}
	b.WriteString(tableRow("control, average node, if all that is listed below were mended (worked out)", formatPercent(mended.Processor), formatBytes(mended.Memory), formatBytes(mended.Network)+"/s", formatShort(mended.Messages), r.verdict(mended)))
	b.WriteString(tableRow("requests and answers (no budget given)", formatPercent(data.Processor), formatBytes(data.Memory), "not counted", formatShort(data.Messages), ""))
}

// verdict names the parts of the budget that a cost exceeds.
func (r Report) verdict(c Cost) string {
	var over []string
	add := func(name string, part, whole float64) {
		if part > whole {
			over = append(over, fmt.Sprintf("%s %s times", name, formatShort(part/whole)))
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
	b.WriteString(tableHead("role", "state", "messages/s", "network", "processor", "memory", "mechanism", "within budget?"))
	for _, role := range r.Single.Roles {
		b.WriteString(tableRow(r.roleCells(role)...))
	}
}

func (r Report) roleCells(role Role) []string {
	verdict := r.verdict(role.Busiest)
	if role.Plane != Control {
		verdict = "no budget (data)"
	}
	if role.BusiestNode != "" {
		verdict += "; busiest: " + role.BusiestNode
	}
	e, w := role.Average, role.Busiest
	return []string{
		role.Name, role.State,
		pairIf(role.BusiestNode != "", formatShort(e.Messages), formatShort(w.Messages)),
		pairIf(role.BusiestNode != "", formatBytes(e.Network)+"/s", formatBytes(w.Network)+"/s"),
		pairIf(role.BusiestNode != "", formatPercent(e.Processor), formatPercent(w.Processor)),
		pairIf(role.BusiestNode != "", formatBytes(e.Memory), formatBytes(w.Memory)),
		role.Mechanism, verdict,
	}
}

func pairIf(two bool, each, busiest string) string {
	if !two {
		return each
	}
	return each + "; " + busiest
}

func (r Report) over(b *strings.Builder) {
	section(b, "Where the budget is not met, and what would meet it")
	for _, role := range r.Single.Roles {
		if role.OverBudget == "" || r.Budget.Within(role.Busiest) {
			continue
		}
		fmt.Fprintf(b, "- *%s*, the busiest node over the budget: %s. %s An average node: %s/s, %s, %s now; %s/s, %s, %s then.\n", role.Name, strings.TrimPrefix(r.verdict(role.Busiest), "**no**: "), role.OverBudget,
			formatBytes(role.Average.Network), formatPercent(role.Average.Processor), formatBytes(role.Average.Memory), formatBytes(role.Mitigated.Network), formatPercent(role.Mitigated.Processor), formatBytes(role.Mitigated.Memory))
	}
	r.remaining(b)
}

// remaining describes what exceeds the budget even with all proposed changes.
func (r Report) remaining(b *strings.Builder) {
	var memory []Role
	var requests float64
	for _, role := range r.Single.Roles {
		if role.Plane != Control {
			continue
		}
		memory = append(memory, role)
		if role.PerRequest {
			requests += role.Mitigated.Network
		}
	}
	slices.SortStableFunc(memory, func(a, b Role) int { return cmp.Compare(b.Mitigated.Memory, a.Mitigated.Memory) })
	mended := r.Single.Mitigated
	fmt.Fprintf(b, "\nWhat stays over: *network*, %s/s a node, of which %s/s follow the requests (bills,\nclaims, addresses) and %s/s are control that does not. *Memory*, %s a node:\n", formatBytes(mended.Network), formatBytes(requests), formatBytes(mended.Network-requests), formatBytes(mended.Memory))
	for _, role := range memory[:min(4, len(memory))] {
		fmt.Fprintf(b, "%s for %s, ", formatBytes(role.Mitigated.Memory), role.Name)
	}
	process, list := r.memoryOf("the process itself"), r.memoryOf("the VM list")
	regional := mended.Memory - list + list/float64(r.Size.Regions)
	const tight = 1.25 // garbage collection at 25 % above the live heap
	tighter := func(all float64) float64 { return process + (all-process)/r.Assumptions.HeapFactor*tight }
	fmt.Fprintf(b, "and small\nparts. Every node knows every VM in three forms (the list's text for its children,\nthe members' picture, the balancer's order). With the list cut by region it would\nbe %s, with a collector that lets the heap grow by a quarter only (and costs\nprocessor time, not measured) %s, with both %s.\n", formatBytes(regional), formatBytes(tighter(mended.Memory)), formatBytes(tighter(regional)))
}

// memoryOf returns a role's mitigated memory.
func (r Report) memoryOf(name string) float64 {
	for _, role := range r.Single.Roles {
		if role.Name == name {
			return role.Mitigated.Memory
		}
	}
	return 0
}
