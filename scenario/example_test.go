package scenario

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/hickorybank/hickorybank/internal/example"
)

// writeExamples writes the example configurations to a scenario's folder, as NAME.json.
func writeExamples(dir string) error {
	for _, name := range example.Names() {
		doc, err := example.Load(name)
		if err != nil {
			return err
		}
		data, err := json.MarshalIndent(doc, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name+".json"), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
