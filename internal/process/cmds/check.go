package cmds

import (
	"errors"
	"fmt"
	"os"

	"cactusline.dev/cactusline/platform"
)

// CheckCommand validates the platform's settings file and routing documents.
type CheckCommand struct {
	Settings  string   `help:"Settings file." type:"existingfile"`
	Documents []string `arg:"" optional:"" help:"Routing documents." type:"existingfile"`
}

// Run executes the command.
func (c *CheckCommand) Run(env *commandEnv) error {
	var faults []error
	if c.Settings != "" {
		_, err := platform.ReadSettings(c.Settings)
		faults = append(faults, err)
	}
	for _, path := range c.Documents {
		faults = append(faults, checkDocument(path))
	}
	if err := errors.Join(faults...); err != nil {
		return usageError(err)
	}
	if _, err := fmt.Fprintln(env.stdout, "no fault found"); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func checkDocument(path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("document: %w", err)
	}
	if _, err := platform.CompileDocument(body); err != nil {
		return fmt.Errorf("document %s: %w", path, err)
	}
	return nil
}
