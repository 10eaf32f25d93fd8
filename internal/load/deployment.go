package load

import (
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
)

// The shares of the kinds of work in a deployment's mix: many light requests and
// look-ups, and 20% heavy requests.
const (
	shareImmediate  = 0.40
	shareDeferrable = 0.35
	shareHeavyChat  = 0.20
	shareHeavyCall  = 0.05

	heavyPromptBytes = 4000 // bytes; a dossier
	lightPromptBytes = 300  // bytes; a line or a note
)

// DeploymentMix returns the mix of an example deployment, with the organisations by
// weight and the classes by kind. It fails if the name is unknown.
func DeploymentMix(name string) (*Mix, error) {
	doc, err := example.Load(name)
	if err != nil {
		return nil, err
	}
	m := &Mix{Name: name}
	for _, o := range doc.Organisations {
		for _, c := range doc.Classes {
			if w, ok := workOf(doc, o, c); ok {
				m.Work = append(m.Work, w)
			}
		}
	}
	for _, model := range doc.Models {
		for _, v := range model.Versions {
			m.Prices = append(m.Prices, Price{Version: v.Name, Input: v.InputCost, Output: v.OutputCost})
		}
	}
	return m, m.validate()
}

func workOf(doc *config.Document, o config.Organisation, c config.Class) (Work, bool) {
	w := Work{
		Organisation: o.Name, Key: example.DemoKey(o.Name), Class: c.Name, DeadlineMillis: c.DeadlineMillis,
		Weight: o.Weight * classShare(doc, c),
	}
	if c.Model != "" {
		w.Model = c.Name
		w.Versions = servingVersions(doc, c.Model)
		w.Stream = c.Kind == config.Heavy
		w.PromptBytes = lightPromptBytes
		if c.Kind == config.Heavy {
			w.PromptBytes = heavyPromptBytes
		}
		return w, true
	}
	for _, s := range doc.Services {
		for _, call := range s.Calls {
			if call.Class == c.Name {
				w.Service, w.Method, w.Path = s.Name, call.Method, call.Path
				return w, true
			}
		}
	}
	return w, false
}

// classShare returns the share of a class in the mix: that of its kind, divided by the
// number of classes of the kind.
func classShare(doc *config.Document, c config.Class) float64 {
	sharing := 0
	for _, other := range doc.Classes {
		if other.Kind == c.Kind && (other.Model == "") == (c.Model == "") {
			sharing++
		}
	}
	share := shareHeavyCall
	switch {
	case c.Kind == config.Immediate:
		share = shareImmediate
	case c.Kind == config.Deferrable:
		share = shareDeferrable
	case c.Model != "":
		share = shareHeavyChat
	}
	return share / float64(sharing)
}

func servingVersions(doc *config.Document, model string) []string {
	var names []string
	for _, m := range doc.Models {
		for _, v := range m.Versions {
			if m.Name == model && v.State == config.Serving {
				names = append(names, v.Name)
			}
		}
	}
	return names
}
