package main

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/hickorybank/hickorybank/internal/choice/sim"
)

// costHeader names the columns of printCost.
const costHeader = "deployment preset world seed policy answers cost/oracle cost/best met short lowest-margin exposed ratings/answer false-alarms p50/p99-ms"

func label(r sim.Result) string {
	c := r.Config
	return fmt.Sprintf("%s %s %s %d", c.Deployment, cmp.Or(c.Preset, "own"), c.World.Kind, c.Seed)
}

func printCost(policy string, r sim.Result) {
	met, reachable := r.Met()
	var exposed int
	for _, n := range r.ExposedAnswers {
		exposed += n
	}
	fmt.Printf("%s %s %d %.3f %.3f %d/%d %d %+.4f %d %.2f %d %s\n", label(r), policy, r.Answers,
		r.Cost/r.OracleCost, r.Cost/r.BestCost, met, reachable, r.SignificantMisses(), r.LowestMargin(), exposed,
		float64(r.Ratings)/float64(r.Answers), r.FalseAlarms, latencies(r))
}

func latencies(r sim.Result) string {
	var list []string
	for _, c := range r.Classes {
		list = append(list, fmt.Sprintf("%s:%d/%d", c.Class, c.Latency.ValueAtQuantile(50), c.Latency.ValueAtQuantile(99)))
	}
	return strings.Join(list, ",")
}

func printOrgClasses(r sim.Result) {
	for _, p := range r.OrgClasses {
		fmt.Printf("  %-14s %-10s target %.2f quality %.4f+-%.4f answers %d cost/oracle %.3f cost/best %.3f met %v reachable %v\n",
			p.Org, p.Class, p.Target, p.Quality, p.StandardError, p.Answers, p.Cost/p.OracleCost, p.Cost/p.BestCost, p.Met(), p.Reachable)
	}
	for _, h := range r.Holds {
		fmt.Printf("  hold %+v\n", h)
	}
	fmt.Println("  opened", r.CapLifted)
}

func printDegradations(r sim.Result) {
	for _, t := range r.Degradations {
		held := "never"
		if t.HeldAt >= 0 {
			held = (t.HeldAt - t.Change.At).String()
		}
		fmt.Println(label(r), t.Change.Version, t.Answers, held, r.FalseAlarms)
	}
}
