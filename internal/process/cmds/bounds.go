package cmds

import (
	"time"

	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/version/ident"
)

// CallerBounds are the flags with the bounds of a process, which its callers can't exceed.
type CallerBounds struct {
	MemoryMB uint32 `name:"memory-mb" help:"Resident memory that this process may take, in MB." default:"184"`
	MaxFDs   uint32 `name:"max-fds" help:"Descriptors that this process may have open." default:"4100"`
}

// open returns the budget of the callers. Parts of the dev command have no flags, and
// leave the memory limit of the Go runtime as it is.
func (b *CallerBounds) open(logger log.Logger, cfg guard.Config) *guard.Budget {
	cfg.Memory, cfg.MaxFDs, cfg.Logger = ident.Bytes(b.MemoryMB)<<20, int(b.MaxFDs), logger
	bounds := guard.New(cfg)
	if b.MemoryMB > 0 {
		bounds.SetMemoryLimit()
	}
	return bounds
}

// callerWriteTimeout bounds each write to a caller that may not read.
const callerWriteTimeout = 30 * time.Second
