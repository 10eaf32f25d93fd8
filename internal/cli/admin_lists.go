package cli

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/config"
)

func printLine(e *env, words ...any) error {
	_, err := fmt.Fprintln(e.out, words...)
	return err
}

type adminOrganisationsCommand struct{ adminOptions }

// Execute lists the organisations with their versions, services and targets.
func (c *adminOrganisationsCommand) Execute([]string) error {
	return show(&c.adminOptions, "organisations", nil, func(list *[]config.Organisation) error {
		t := newTable("ORGANISATION", "WEIGHT", "RATE/S", "KEYS", "VERSIONS", "SERVICES", "TARGETS")
		for _, o := range *list {
			t.add(o.Name, o.Weight, o.RatePerSecond, len(o.KeyHashes), o.Versions, o.Services, targetTexts(o))
		}
		return t.write(c.env.out)
	})
}

func targetTexts(o config.Organisation) []string {
	var out []string
	for _, t := range o.Targets {
		out = append(out, fmt.Sprintf("%s=%v", t.Class, t.Quality))
	}
	return out
}

type adminModelsCommand struct{ adminOptions }

// Execute lists the models with the states of their versions.
func (c *adminModelsCommand) Execute([]string) error {
	return show(&c.adminOptions, "models", nil, func(list *[]config.Model) error {
		t := newTable("MODEL", "VERSIONS")
		for _, m := range *list {
			t.add(m.Name, versionStates(m))
		}
		return t.write(c.env.out)
	})
}

func versionStates(m config.Model) []string {
	var out []string
	for _, v := range m.Versions {
		out = append(out, fmt.Sprintf("%s(%s)", v.Name, v.State))
	}
	return out
}

type adminVersionsCommand struct{ adminOptions }

// Execute lists the versions with their costs, quality and share.
func (c *adminVersionsCommand) Execute([]string) error {
	return show(&c.adminOptions, "versions", nil, func(list *[]admin.VersionEntry) error {
		t := newTable("VERSION", "MODEL", "STATE", "SHARE", "EXPOSURE CAP", "INPUT COST", "OUTPUT COST", "PRIOR QUALITY")
		for _, v := range *list {
			t.add(v.Name, v.Model, v.State, v.Share, v.ExposureCap, v.InputCost, v.OutputCost, v.PriorQuality)
		}
		return t.write(c.env.out)
	})
}

type adminServicesCommand struct{ adminOptions }

// Execute lists the calls of the plain services.
func (c *adminServicesCommand) Execute([]string) error {
	return show(&c.adminOptions, "services", nil, func(list *[]config.Service) error {
		t := newTable("SERVICE", "METHOD", "PATH", "IDEMPOTENT", "CLASS", "COST")
		for _, s := range *list {
			for _, call := range s.Calls {
				t.add(s.Name, call.Method, call.Path, call.Idempotent, call.Class, call.Cost)
			}
		}
		return t.write(c.env.out)
	})
}

type adminClassesCommand struct{ adminOptions }

// Execute lists the classes with their kinds and deadlines.
func (c *adminClassesCommand) Execute([]string) error {
	return show(&c.adminOptions, "classes", nil, func(list *[]config.Class) error {
		t := newTable("CLASS", "KIND", "DEADLINE MS", "MODEL", "CASCADE")
		for _, class := range *list {
			t.add(class.Name, class.Kind, class.DeadlineMillis, class.Model, class.Cascade)
		}
		return t.write(c.env.out)
	})
}

type adminPresetsCommand struct{ adminOptions }

// Execute lists the presets with their policies.
func (c *adminPresetsCommand) Execute([]string) error {
	return show(&c.adminOptions, "presets", nil, func(list *[]config.Preset) error {
		t := newTable("PRESET", "DEFER DEFERRABLE", "CASCADES", "ROLL-OUTS MOVE")
		for _, p := range *list {
			t.add(p.Name, p.DeferDeferrable, p.Cascades, p.AdvanceRollouts)
		}
		return t.write(c.env.out)
	})
}

type adminNodesCommand struct{ adminOptions }

// Execute lists the entry nodes in the view of the queried node.
func (c *adminNodesCommand) Execute([]string) error {
	return show(&c.adminOptions, "nodes", nil, func(l *admin.NodeList) error {
		t := newTable("NODE", "ADDRESS", "PEER", "FAILURE DOMAIN", "STATE", "REVISION", "DETAIL")
		for _, n := range l.Nodes {
			t.add(n.ID, n.Address, n.Peer, n.FailureDomain, n.State, revisionText(n.Revision), n.Detail)
		}
		return t.write(c.env.out)
	})
}

// revisionText returns a revision as text, or "" if the queried node does not know it.
func revisionText(revision uint64) string {
	if revision == 0 {
		return ""
	}
	return strconv.FormatUint(revision, 10)
}

type adminUpstreamsCommand struct{ adminOptions }

// Execute lists the upstreams that the queried node has discovered.
func (c *adminUpstreamsCommand) Execute([]string) error {
	return show(&c.adminOptions, "upstreams", nil, func(l *admin.UpstreamList) error {
		t := newTable("UPSTREAM", "KIND", "ADDRESS", "FAILURE DOMAIN", "STATE", "RUNNING", "QUEUED", "LIMIT", "AGE MS", "VERSIONS", "DETAIL")
		for _, u := range l.Upstreams {
			kind := strings.Trim(u.Kind+" "+u.Service, " ")
			t.add(u.ID, kind, u.Address, u.FailureDomain, u.State, u.Running, u.Queued, u.Limit, u.AgeMillis, u.Versions, u.Detail)
		}
		return t.write(c.env.out)
	})
}

type adminHoldsCommand struct{ adminOptions }

// Execute lists the holds of versions, lifted ones included.
func (c *adminHoldsCommand) Execute([]string) error {
	return show(&c.adminOptions, "holds", nil, func(l *admin.HoldList) error {
		t := newTable("VERSION", "TERM", "LIFTED", "REASON", "CLASS", "NODE", "AT")
		for _, h := range l.Holds {
			t.add(h.Version, h.Term, h.Lifted, h.Reason, h.Class, h.Node, h.At)
		}
		return t.write(c.env.out)
	})
}
