package example

import (
	"embed"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
)

//go:embed *.json
var files embed.FS

// Names returns the names of the example deployments.
func Names() []string { return []string{"tarifas", "sahel"} }

// Load returns the configuration document of a deployment. It fails if the name is
// unknown or the document is invalid; then the error holds the validation's faults.
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
