// Command cactusline runs a fleet of routers for multi-turn chats. Its subcommands
// start the roles of the fleet and give operators access to it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cactusline.dev/cactusline/internal/process/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
