// Package seeds runs randomized tests over a range of seeds and prints the command
// that reruns a failing seed.
package seeds

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// EnvVar is the environment variable that overrides the seed ranges of tests. Its
// form is FIRST-LAST, or a single seed.
const EnvVar = "CACTUSLINE_TEST_SEEDS"

// Range is an inclusive range of seeds.
type Range struct {
	First, Last uint64
}

// Parse parses a range of the form FIRST-LAST, or a single seed.
func Parse(text string) (Range, error) {
	first, last, found := strings.Cut(text, "-")
	if !found {
		last = first
	}
	low, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return Range{}, fmt.Errorf("first seed in range %q: %w", text, err)
	}
	high, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return Range{}, fmt.Errorf("last seed in range %q: %w", text, err)
	}
	if high < low {
		return Range{}, fmt.Errorf("seed range %q: last seed is below first", text)
	}
	return Range{First: low, Last: high}, nil
}

// FromEnv returns the range set by EnvVar, or def if it is not set. It panics on a
// malformed range, so that no run silently tests other seeds.
func FromEnv(def Range) Range {
	text := os.Getenv(EnvVar)
	if text == "" {
		return def
	}
	parsed, err := Parse(text)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", EnvVar, err))
	}
	return parsed
}

// Run runs a subtest for each seed of the range that FromEnv returns. For a failing
// seed it logs the command that reruns it.
func Run(t *testing.T, def Range, run func(t *testing.T, seed uint64)) {
	t.Helper()
	seeds := FromEnv(def)
	for seed := seeds.First; ; seed++ {
		name := t.Name()
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Log("repeat with: " + RerunCommand(name, seed))
				}
			}()
			run(t, seed)
		})
		if seed == seeds.Last {
			return
		}
	}
}

// RerunCommand returns the shell command that reruns the named test of the current
// package with one seed. It is to be run in the module's root directory.
func RerunCommand(test string, seed uint64) string {
	topLevel, _, _ := strings.Cut(test, "/")
	return fmt.Sprintf("%s=%d-%d go test -race -count=1 -run '^%s$' %s", EnvVar, seed, seed, topLevel, currentPackage())
}

// currentPackage returns the working directory as a package path for the go command,
// relative to the module's root.
func currentPackage() string {
	dir, err := os.Getwd()
	if err != nil {
		return "./..."
	}
	for root := dir; ; root = filepath.Dir(root) {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			return "./" + filepath.ToSlash(strings.TrimPrefix(strings.TrimPrefix(dir, root), "/"))
		}
		if root == filepath.Dir(root) {
			return "./..."
		}
	}
}
