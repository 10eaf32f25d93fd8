package api

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Refusals before the router must be counted too, and each one with its organisation,
// class, model and reason. Otherwise they are missing from the operator's page.
func TestRefusalsNameOrganisationClassAndReason(t *testing.T) {
	chat := "/v1/chat/completions"
	cases := []struct {
		name, path, body, org, class, model string
		headers                             []header
		beforeRouter                        bool
		reason                              request.Reason
	}{
		{"no key", chat, goodChat, "", "", "", []header{{"Authorization", ""}}, true, "invalid_api_key"},
		{"unknown path", "/v2/x", goodChat, "", "", "", nil, true, request.ReasonUnknownPath},
		{"malformed", chat, "{", "cartagena", "draft", "", []header{{headerClass, "draft"}}, true, request.ReasonMalformed},
		{"too large", chat, strings.Repeat(" ", maxBodyBytes+1), "cartagena", "", "", nil, true, request.ReasonTooLarge},
		{"no messages", chat, `{"model":"dues@1"}`, "cartagena", "", "dues@1", nil, true, request.ReasonMalformed},
		{"undeclared", "/v1/services/billing/x", "", "cartagena", "", "", nil, true, request.ReasonUndeclared},
		{"call too large", "/v1/services/billing/settlements", strings.Repeat("x", maxBodyBytes+1), "cartagena", "settle", "", nil, true, request.ReasonTooLarge},
		{"over the limit", chat, goodChat, "cartagena", "", "draft", nil, false, "rate_limited"},
		{"stream over the limit", chat, `{"stream":true,` + goodChat[1:], "cartagena", "", "draft", nil, false, "rate_limited"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFakeRouter(t)
			b.failure = request.Refuse(request.CodeRateLimited, 0, "why")
			send(b, "POST", c.path, c.body, c.headers...)
			is.Equal(len(b.refused), 1)
			got := b.refused[0]
			org := ""
			if got.Org != nil {
				org = got.Org.Name
			}
			is.Equal(org, c.org)
			is.Equal(got.Class, c.class)
			is.Equal(got.Model, c.model)
			is.Equal(got.BeforeRouter, c.beforeRouter)
			is.Equal(got.Reason, c.reason)
		})
	}
}

// Fails if a failure is counted as a refusal although the request may have run.
func TestFailureThatMayHaveRunIsNotARefusal(t *testing.T) {
	is := is.New(t)
	b := newFakeRouter(t)
	b.failure = &request.Failure{Code: request.CodeUpstreamFailed, Outcome: request.Unknown}
	send(b, "POST", "/v1/chat/completions", goodChat)
	is.Equal(len(b.refused), 0)
}
