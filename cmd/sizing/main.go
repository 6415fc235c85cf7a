// Command sizing works out the tables of the capacity page anew from the
// recorded output of the benchmarks: sizing OUTPUT PAGE.
package main

import (
	"fmt"
	"os"

	"cactusline.dev/cactusline/internal/process/sizing"
)

func main() {
	if len(os.Args) != 3 {
		_, _ = fmt.Fprintln(os.Stderr, "usage: sizing OUTPUT PAGE")
		os.Exit(2)
	}
	if err := rewrite(os.Args[1], os.Args[2]); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "sizing:", err)
		os.Exit(1)
	}
}

// rewrite brings the page in line with the output.
func rewrite(output, page string) error {
	file, err := os.Open(output)
	if err != nil {
		return fmt.Errorf("open output: %w", err)
	}
	defer func() { _ = file.Close() }()
	measured, err := sizing.Read(file)
	if err != nil {
		return fmt.Errorf("read %s: %w", output, err)
	}
	before, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	after, err := sizing.Rewrite(string(before), measured)
	if err != nil {
		return fmt.Errorf("work out %s: %w", page, err)
	}
	if err := os.WriteFile(page, []byte(after), 0o600); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
