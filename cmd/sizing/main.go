// Command sizing regenerates the tables of a documentation page from recorded
// benchmark output.
//
// Usage:
//
//	sizing capacity|decisions OUTPUT PAGE
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

// rewrite regenerates the tables of the page file from the benchmark output file.
func rewrite(kind, outputPath, pagePath string) error {
	file, err := os.Open(outputPath)
	if err != nil {
		return fmt.Errorf("open output: %w", err)
	}
	defer func() { _ = file.Close() }()
	before, err := os.ReadFile(pagePath)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	after, err := regenerate(kind, string(before), file)
	if err != nil {
		return fmt.Errorf("regenerate tables of %s: %w", pagePath, err)
	}
	if err := os.WriteFile(pagePath, []byte(after), 0o600); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// regenerate returns the page with its tables of the given kind regenerated.
func regenerate(kind, page string, output io.Reader) (string, error) {
	switch kind {
	case "capacity":
		measurements, err := sizing.ReadCapacity(output)
		if err != nil {
			return "", err
		}
		return sizing.RewriteCapacity(page, measurements)
	case "decisions":
		results, err := sizing.ReadPolicyResults(output)
		if err != nil {
			return "", err
		}
		return sizing.RewriteDecisions(page, results)
	}
	return "", fmt.Errorf("unknown kind of tables %q, want capacity or decisions", kind)
}
