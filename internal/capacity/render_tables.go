package capacity

import (
	"fmt"
	"strings"
)

// tables compares one table for all regions with one for each region.
func (r Report) tables(b *strings.Builder) {
	section(b, "The platform's tables: one for all regions, or one for each")
	a := r.Assumptions
	fmt.Fprintf(b, "A table takes %s writes and %s reads a second.\n\n", formatShort(a.TableWrites), formatShort(a.TableReads))
	b.WriteString(tableHead("role", "writes/s, all nodes", "reads/s, all nodes", "of one table, if there is one", "of one table, if there is one a region"))
	for i, role := range r.Single.Roles {
		regional := r.PerRegion.Roles[i]
		if role.Reads+role.Writes+regional.Reads+regional.Writes == 0 {
			continue
		}
		b.WriteString(tableRow(role.Name, formatShort(role.Writes)+"; "+formatShort(regional.Writes), formatShort(role.Reads)+"; "+formatShort(regional.Reads),
			r.share(role, 1), r.share(regional, r.Size.Regions)))
	}
	all := func(x Results) Role { return Role{Reads: x.Reads, Writes: x.Writes} }
	b.WriteString(tableRow("all", formatShort(r.Single.Writes)+"; "+formatShort(r.PerRegion.Writes), formatShort(r.Single.Reads)+"; "+formatShort(r.PerRegion.Reads),
		r.share(all(r.Single), 1), r.share(all(r.PerRegion), r.Size.Regions)))
	fmt.Fprintf(b, "\nThe first figure of a pair is for one table, the second for %d. What a node\nspends on claims and bills changes with it, since rows are smaller and more:\n\n", r.Size.Regions)
	b.WriteString(tableHead("role", "one table: average; busiest", "one a region: average; busiest"))
	for i, role := range r.Single.Roles {
		regional := r.PerRegion.Roles[i]
		if role.Average == regional.Average && role.Busiest == regional.Busiest {
			continue
		}
		b.WriteString(tableRow(role.Name, costs(role), costs(regional)))
	}
	b.WriteString("\nOne table can take the writes, and the configuration needs one in any case. It\ntakes a gap between rows that every answer's end waits for in the mean by half,\nand its loss is everybody's. One a region costs nodes more messages as long as\na node sends each bill as it comes; and a key is known in one region only.\n")
}

func costs(role Role) string {
	e, w := role.Average, role.Busiest
	return fmt.Sprintf("%s/s, %s; %s/s, %s", formatBytes(e.Network), formatPercent(e.Processor), formatBytes(w.Network), formatPercent(w.Processor))
}

func (r Report) share(role Role, tables int) string {
	n := float64(tables)
	return fmt.Sprintf("%s of writes, %s of reads", formatPercent(role.Writes/n/r.Assumptions.TableWrites), formatPercent(role.Reads/n/r.Assumptions.TableReads))
}

func (r Report) assumptions(b *strings.Builder) {
	section(b, "Assumptions")
	b.WriteString(tableHead("assumed", "value", "why"))
	for _, a := range r.Assumptions.List() {
		b.WriteString(tableRow(a.Name, strings.TrimSpace(formatExact(a.Value)+" "+a.Unit), a.Why))
	}
}

// slopesTitle is the heading of the section that Parse reads.
const slopesTitle = "Measured slopes"

func (r Report) slopes(b *strings.Builder) {
	section(b, slopesTitle)
	b.WriteString("Processor time is user and system time of the process, the least of four\nrounds. `at 0` and `for each` are of the line with the least squared relative\nerrors, `off` is their root mean square.\n\n")
	b.WriteString(tableHead("slope", "what", "for each", "unit", "points (size:value)", "at 0", "a unit of size", "off"))
	for _, s := range r.Slopes {
		l := s.Line()
		b.WriteString(tableRow("`"+s.Name+"`", s.What, s.Per, string(s.Unit), points(s.Points), formatShort(l.Intercept), formatShort(l.Slope), formatPercent(l.Residual)))
	}
}

func points(list []Point) string {
	texts := make([]string, 0, len(list))
	for _, p := range list {
		texts = append(texts, formatExact(p.Size)+":"+formatExact(p.Value))
	}
	return strings.Join(texts, " ")
}

func (r Report) badDays(b *strings.Builder) {
	section(b, "Bad days")
	for _, d := range r.Single.BadDays {
		fmt.Fprintf(b, "**%s.**\n\n", d.Name)
		for _, line := range d.Lines {
			fmt.Fprintf(b, "- %s\n", line)
		}
		b.WriteString("\n")
	}
}
