package explain

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// Path is where a node answers, on the address of its metrics.
const Path = "/explain"

// AnyModel leaves the choice of the model to the router; so does no model.
const AnyModel = "any"

const (
	// MaxTokens bounds the tokens of a prompt, a part or an answer.
	MaxTokens = 100_000_000
	// MaxParts bounds the parts of a prompt.
	MaxParts = 1024
	// maxText bounds the other values, in bytes.
	maxText = 4096
)

// Request describes a request, without its key.
type Request struct {
	Host string `json:"host"`
	// Path is the raw path, without a query.
	Path string `json:"path"`
	// Organisation is the name of the caller's organisation; empty for none.
	Organisation string `json:"organisation,omitempty"`
	// Model is the requested model, or AnyModel.
	Model     string `json:"model,omitempty"`
	TokensIn  int    `json:"tokens_in"`
	TokensOut int    `json:"tokens_out"`
	// Parts are the parts of the prompt in order; the last one belongs to this request alone.
	Parts []Part `json:"parts,omitempty"`
	// Session is the caller's session; empty for none.
	Session string `json:"session,omitempty"`
}

// Part is a part of a prompt that upstreams may have cached.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Values returns the request as the query of a call.
func (r *Request) Values() url.Values {
	v := url.Values{"host": {r.Host}, "path": {r.Path}, "tokens_in": {strconv.Itoa(r.TokensIn)}, "tokens_out": {strconv.Itoa(r.TokensOut)}}
	for field, value := range map[string]string{"organisation": r.Organisation, "model": r.Model, "session": r.Session} {
		if value != "" {
			v.Set(field, value)
		}
	}
	for _, p := range r.Parts {
		v.Add("part", p.ID+":"+strconv.Itoa(p.Tokens))
	}
	return v
}

// Parse reads the query of a call. The error names the field, its value and what is accepted.
func Parse(v url.Values) (Request, error) {
	var r Request
	texts := map[string]*string{"host": &r.Host, "path": &r.Path, "organisation": &r.Organisation, "model": &r.Model, "session": &r.Session}
	counts := map[string]*int{"tokens_in": &r.TokensIn, "tokens_out": &r.TokensOut}
	for field, values := range v {
		text, count := texts[field], counts[field]
		if (text != nil || count != nil) && len(values) != 1 {
			return r, fault(field, strings.Join(values, ", "), "one value")
		}
		switch {
		case text != nil:
			if *text = values[0]; len(*text) > maxText {
				return r, fault(field, (*text)[:32]+"…", fmt.Sprintf("at most %d bytes", maxText))
			}
		case count != nil:
			n, ok := parseTokens(values[0])
			if !ok {
				return r, fault(field, values[0], fmt.Sprintf("0 to %d", MaxTokens))
			}
			*count = n
		case field == "part":
			parts, err := ParseParts(values)
			if err != nil {
				return r, err
			}
			r.Parts = parts
		default:
			return r, fault(field, values[0], "host, path, organisation, model, tokens_in, tokens_out, part, session")
		}
	}
	if r.Host == "" {
		return r, fault("host", "", "a host name")
	}
	if !strings.HasPrefix(r.Path, "/") || strings.Contains(r.Path, "?") {
		return r, fault("path", r.Path, "a path that begins with / and has no query")
	}
	return r, nil
}

// ParseParts reads parts of the form ID:TOKENS. The error names the first wrong one.
func ParseParts(texts []string) ([]Part, error) {
	if len(texts) > MaxParts {
		return nil, fault("part", strconv.Itoa(len(texts))+" parts", fmt.Sprintf("at most %d parts", MaxParts))
	}
	parts := make([]Part, 0, len(texts))
	for _, text := range texts {
		i := strings.LastIndexByte(text, ':')
		if i <= 0 {
			return nil, fault("part", text, "ID:TOKENS")
		}
		n, ok := parseTokens(text[i+1:])
		if !ok {
			return nil, fault("part", text, fmt.Sprintf("ID:TOKENS with 0 to %d tokens", MaxTokens))
		}
		parts = append(parts, Part{ID: text[:i], Tokens: n})
	}
	return parts, nil
}

func parseTokens(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n <= MaxTokens
}
