package capacity

import (
	"fmt"
	"strings"
)

// tables weighs one table for all regions against one for each.
func (r Report) tables(b *strings.Builder) {
	section(b, "The platform's tables: one for all regions, or one for each")
	a := r.Assumptions
	fmt.Fprintf(b, "A table takes %s writes and %s reads a second.\n\n", short(a.TableWrites), short(a.TableReads))
	b.WriteString(head("role", "writes/s, all nodes", "reads/s, all nodes", "of one table, if there is one", "of one table, if there is one a region"))
	for i, role := range r.Single.Roles {
		regional := r.PerRegion.Roles[i]
		if role.Reads+role.Writes+regional.Reads+regional.Writes == 0 {
			continue
		}
		b.WriteString(row(role.Name, short(role.Writes)+"; "+short(regional.Writes), short(role.Reads)+"; "+short(regional.Reads),
			r.share(role, 1), r.share(regional, r.Size.Regions)))
	}
	all := func(x Results) Role { return Role{Reads: x.Reads, Writes: x.Writes} }
	b.WriteString(row("all", short(r.Single.Writes)+"; "+short(r.PerRegion.Writes), short(r.Single.Reads)+"; "+short(r.PerRegion.Reads),
		r.share(all(r.Single), 1), r.share(all(r.PerRegion), r.Size.Regions)))
	fmt.Fprintf(b, "\nThe first figure of a pair is for one table, the second for %d. What a node\nspends on claims and bills changes with it, since rows are smaller and more:\n\n", r.Size.Regions)
	b.WriteString(head("role", "one table: average; busiest", "one a region: average; busiest"))
	for i, role := range r.Single.Roles {
		regional := r.PerRegion.Roles[i]
		if role.Each == regional.Each && role.Busiest == regional.Busiest {
			continue
		}
		b.WriteString(row(role.Name, costs(role), costs(regional)))
	}
	b.WriteString("\nOne table can take the writes, and the configuration needs one in any case. It\ntakes a gap between rows that every answer's end waits for in the mean by half,\nand its loss is everybody's. One a region costs nodes more messages as long as\na node sends each bill as it comes; and a key is known in one region only.\n")
}

func costs(role Role) string {
	e, w := role.Each, role.Busiest
	return fmt.Sprintf("%s/s, %s; %s/s, %s", amount(e.Network), cores(e.Processor), amount(w.Network), cores(w.Processor))
}

func (r Report) share(role Role, tables int) string {
	n := float64(tables)
	return fmt.Sprintf("%s of writes, %s of reads", cores(role.Writes/n/r.Assumptions.TableWrites), cores(role.Reads/n/r.Assumptions.TableReads))
}

func (r Report) assumptions(b *strings.Builder) {
	section(b, "Assumptions")
	b.WriteString(head("assumed", "value", "why"))
	for _, a := range r.Assumptions.List() {
		b.WriteString(row(a.Name, strings.TrimSpace(number(a.Value)+" "+a.Unit), a.Why))
	}
}

// slopesTitle begins the part that Parse reads.
const slopesTitle = "Measured slopes"

func (r Report) slopes(b *strings.Builder) {
	section(b, slopesTitle)
	b.WriteString("Processor time is user and system time of the process, the least of four\nrounds. `at 0` and `for each` are of the line with the least squared relative\nerrors, `off` is their root mean square.\n\n")
	b.WriteString(head("slope", "what", "for each", "unit", "points (size:value)", "at 0", "a unit of size", "off"))
	for _, s := range r.Slopes {
		l := s.Line()
		b.WriteString(row("`"+s.Name+"`", s.What, s.Per, string(s.Unit), points(s.Points), short(l.Intercept), short(l.Slope), cores(l.Residual)))
	}
}

func points(list []Point) string {
	texts := make([]string, 0, len(list))
	for _, p := range list {
		texts = append(texts, number(p.Size)+":"+number(p.Value))
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
