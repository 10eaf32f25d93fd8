package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Mix is the work that a run chooses from.
type Mix struct {
	Name string `json:"name"`
	Work []Work `json:"work"`
	// Prices are of versions, to reckon the cost of streamed answers.
	Prices []Price `json:"prices,omitempty"`
}

// Price is what a version costs, in micro-units of currency per 1,000 tokens.
type Price struct {
	Version string `json:"version"`
	Input   int64  `json:"input"`
	Output  int64  `json:"output"`
}

// cost is what an answer's tokens come to, in micro-units of currency.
func (m *Mix) cost(version string, input, output int) int64 {
	for _, p := range m.Prices {
		if p.Version == version {
			return (p.Input*int64(input) + p.Output*int64(output)) / tokensPerPrice
		}
	}
	return 0
}

const tokensPerPrice = 1000

// ParseMix reads a mix strictly.
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
	var wrong []error
	if len(m.Work) == 0 {
		wrong = append(wrong, errors.New("work: must not be empty"))
	}
	for i := range m.Work {
		if reason := m.Work[i].fault(); reason != "" {
			wrong = append(wrong, fmt.Errorf("work[%d]: %s", i, reason))
		}
	}
	return errors.Join(wrong...)
}

func (w *Work) fault() string {
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
