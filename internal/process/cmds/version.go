package cmds

import (
	"fmt"
	"runtime"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// Version is the program's version.
const Version = "0.1.0"

// VersionCommand prints the program's version.
type VersionCommand struct{}

// Run executes the command.
func (c *VersionCommand) Run(env *commandEnv) error {
	_, err := fmt.Fprintf(env.stdout, "cactusline %s protocol %d %s\n", Version, wire.Protocol, runtime.Version())
	return err
}
