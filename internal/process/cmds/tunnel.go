package cmds

import (
	"context"
	"fmt"
	"net"
	"time"

	"cactusline.dev/cactusline/internal/conn/tunnel"
)

// tunnelStopMargin is left of the grace for the end of the process.
const tunnelStopMargin = 300 * time.Millisecond

// TunnelCommand carries the streams of gates to the target on its VM.
type TunnelCommand struct {
	Settings string `help:"Settings file of the platform; by default where the platform says."`
}

// Run implements the command.
func (c *TunnelCommand) Run(s *scope) error {
	settings, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	logger, flush, err := platformLogger(s, "tunnel", settings)
	if err != nil {
		return err
	}
	defer flush()
	limitMemory()
	conn, err := net.ListenPacket("udp", settings.Tunnel)
	if err != nil {
		return fmt.Errorf("listen for datagrams: %w", err)
	}
	server := &tunnel.Server{Target: settings.Target, Logger: logger}
	done, cancel := context.WithCancel(context.WithoutCancel(s.ctx))
	defer cancel()
	stop := context.AfterFunc(s.ctx, func() {
		time.AfterFunc(settings.Grace-tunnelStopMargin, cancel)
	})
	defer stop()
	return server.Serve(s.ctx, done, conn)
}
