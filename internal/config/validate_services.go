package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Methods returns the HTTP methods that a [Call] may have.
func Methods() []string {
	return []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
}

func (v *validator) services() {
	v.atMost("services", len(v.doc.Services), MaxServices)
	for i, s := range v.doc.Services {
		field := fmt.Sprintf("services[%d]", i)
		v.name(field+".name", s.Name)
		v.unique(field+".name", s.Name, v.serviceNames)
		v.calls(field+".calls", s.Calls)
	}
}

func (v *validator) calls(field string, calls []Call) {
	v.atMost(field, len(calls), MaxCalls)
	seen := map[string]bool{}
	for i, c := range calls {
		v.call(fmt.Sprintf("%s[%d]", field, i), c)
		v.unique(fmt.Sprintf("%s[%d]", field, i), c.Method+" "+c.Path, seen)
	}
}

func (v *validator) call(field string, c Call) {
	if !slices.Contains(Methods(), c.Method) {
		v.faults.add(field+".method", fmt.Sprintf("%q is not one of %s", truncate(c.Method), strings.Join(Methods(), ", ")))
	}
	if !strings.HasPrefix(c.Path, "/") {
		v.faults.add(field+".path", "must begin with /")
	}
	if len(c.Path) > MaxPath {
		v.faults.add(field+".path", fmt.Sprintf("must not be longer than %d bytes", MaxPath))
	}
	v.exists(field+".class", "class", c.Class, v.classes)
	v.between(field+".cost", c.Cost, 0, MaxCost)
}
