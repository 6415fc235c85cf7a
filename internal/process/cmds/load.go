package cmds

import (
	"fmt"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/load"
	"cactusline.dev/cactusline/internal/version/ident"
)

// LoadCommand generates chat load on a router and prints a report of the answers.
type LoadCommand struct {
	URL       string          `arg:"" help:"Callers' interface." default:"http://127.0.0.1:8080"`
	Key       string          `help:"Bearer key of the customer; by default that of the dev command." default:"dev-key"`
	Model     ident.ModelName `help:"Model that is asked for." default:"stand-in"`
	Rate      float64         `help:"Turns a second, at random moments." default:"20"`
	Length    time.Duration   `help:"How long turns are sent." default:"15s"`
	Chats     int             `help:"Chats that the turns belong to." default:"50"`
	Tokens    ident.Tokens    `help:"Longest answer." default:"32"`
	Objective time.Duration   `help:"Time to the first token of an answer in aim." default:"1600ms"`
	Gap       time.Duration   `help:"Time between tokens of an answer in aim, for 95 in 100." default:"37ms"`
	Timeout   time.Duration   `help:"Time that a turn may take." default:"30s"`
	Seed      uint64          `help:"Draws the moments and the chats." default:"1"`
}

// Run executes the command.
func (c *LoadCommand) Run(env *commandEnv) error {
	report, err := load.Run(env.ctx, load.Config{
		URL: strings.TrimSuffix(c.URL, "/"), Key: c.Key, Model: c.Model,
		Rate: c.Rate, Duration: c.Length, ChatCount: c.Chats, MaxTokens: c.Tokens,
		FirstTokenObjective: c.Objective, TokenGapObjective: c.Gap, Timeout: c.Timeout, Seed: c.Seed,
		Clock: clock.System{},
	})
	if err != nil {
		return usageError(fmt.Errorf("load: %w", err))
	}
	return report.Print(env.stdout)
}
