// Command cactusline is a router fleet for returning chats: one program whose
// subcommands are the roles of the fleet and the operator's verbs.
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
