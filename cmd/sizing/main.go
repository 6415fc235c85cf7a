// Command sizing works out the tables of a page anew from the recorded output
// of benchmarks: sizing capacity OUTPUT PAGE, or sizing decisions OUTPUT PAGE.
package main

import (
	"fmt"
	"io"
	"os"

	"cactusline.dev/cactusline/internal/process/sizing"
)

func main() {
	if len(os.Args) != 4 {
		_, _ = fmt.Fprintln(os.Stderr, "usage: sizing capacity|decisions OUTPUT PAGE")
		os.Exit(2)
	}
	if err := rewrite(os.Args[1], os.Args[2], os.Args[3]); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "sizing:", err)
		os.Exit(1)
	}
}

// rewrite brings the page in line with the output.
func rewrite(kind, output, page string) error {
	file, err := os.Open(output)
	if err != nil {
		return fmt.Errorf("open output: %w", err)
	}
	defer func() { _ = file.Close() }()
	before, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	after, err := workOut(kind, string(before), file)
	if err != nil {
		return fmt.Errorf("work out %s: %w", page, err)
	}
	if err := os.WriteFile(page, []byte(after), 0o600); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// workOut returns the page with the tables of one kind.
func workOut(kind, page string, output io.Reader) (string, error) {
	switch kind {
	case "capacity":
		measured, err := sizing.Read(output)
		if err != nil {
			return "", err
		}
		return sizing.Rewrite(page, measured)
	case "decisions":
		decisions, err := sizing.ReadDecisions(output)
		if err != nil {
			return "", err
		}
		return sizing.RewriteDecisions(page, decisions)
	}
	return "", fmt.Errorf("no tables of kind %q", kind)
}
