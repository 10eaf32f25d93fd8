package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Mix is the set of kinds of work that a run draws requests from.
type Mix struct {
	Name string `json:"name"`
	Work []Work `json:"work"`
	// Prices are the prices of versions, to compute the cost of streamed answers.
	Prices []Price `json:"prices,omitempty"`
}

// Price is the price of a version, in micro-units of currency per 1,000 tokens.
type Price struct {
	Version string `json:"version"`
	Input   int64  `json:"input"`
	Output  int64  `json:"output"`
}

// cost returns the cost of an answer's tokens in micro-units of currency, or 0 if the
// version has no price.
func (m *Mix) cost(version string, input, output int) int64 {
	for _, p := range m.Prices {
		if p.Version == version {
			return (p.Input*int64(input) + p.Output*int64(output)) / tokensPerPriceUnit
		}
	}
	return 0
}

// tokensPerPriceUnit is the number of tokens that a price covers.
const tokensPerPriceUnit = 1000

// ParseMix parses and validates a mix in JSON. Unknown fields are errors.
func ParseMix(data []byte) (*Mix, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	m := new(Mix)
	if err := decoder.Decode(m); err != nil {
		return nil, eris.Wrap(err, "mix")
	}
	return m, m.validate()
}

func (m *Mix) validate() error {
	var errs []error
	if len(m.Work) == 0 {
		errs = append(errs, errors.New("work: must not be empty"))
	}
	for i := range m.Work {
		if reason := m.Work[i].invalidReason(); reason != "" {
			errs = append(errs, fmt.Errorf("work[%d]: %s", i, reason))
		}
	}
	return errors.Join(errs...)
}

// invalidReason returns why the work is invalid, or "" if it is valid.
func (w *Work) invalidReason() string {
	switch {
	case !(w.Weight > 0) || w.Weight > config.MaxWeight:
		return "weight must be above 0"
	case w.Class == "":
		return "class must not be empty"
	case w.chat() && w.Service != "":
		return "model and service exclude each other"
	case !w.chat() && (w.Service == "" || w.Method == "" || w.Path == ""):
		return "a service's call needs service, method and path"
	case w.PromptBytes < 0 || w.MaxTokens < 0 || w.DeadlineMillis < 0:
		return "numbers must not be below 0"
	}
	return ""
}
