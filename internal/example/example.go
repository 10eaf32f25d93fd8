package example

import (
	"embed"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
)

//go:embed *.json
var files embed.FS

// Names are the deployments.
func Names() []string { return []string{"tarifas", "sahel"} }

// Load returns the deployment's document, validated.
func Load(name string) (*config.Document, error) {
	data, err := files.ReadFile(name + ".json")
	if err != nil {
		return nil, eris.Errorf("there is no deployment %q; known are tarifas and sahel", name)
	}
	doc, err := config.Parse(data)
	if err != nil {
		return nil, err
	}
	if faults := doc.Validate(); len(faults) > 0 {
		return nil, faults
	}
	return doc, nil
}
