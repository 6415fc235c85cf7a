// Package seeds gives tests of random cases their range of seeds and the command
// that repeats a failing one.
package seeds

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Variable is the environment variable that overrides a test's range of
// seeds, written FIRST-LAST.
const Variable = "CACTUSLINE_TEST_SEEDS"

// Range is a range of seeds, both ends included.
type Range struct {
	First, Last uint64
}

// Parse reads a range written FIRST-LAST, or one seed.
func Parse(text string) (Range, error) {
	first, last, found := strings.Cut(text, "-")
	if !found {
		last = first
	}
	low, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return Range{}, fmt.Errorf("first seed of %q: %w", text, err)
	}
	high, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return Range{}, fmt.Errorf("last seed of %q: %w", text, err)
	}
	if high < low {
		return Range{}, fmt.Errorf("range of seeds %q falls", text)
	}
	return Range{First: low, Last: high}, nil
}

// FromEnv returns the range in the environment, or def where there is none.
// It panics on a malformed range, so that no run silently tests other seeds.
func FromEnv(def Range) Range {
	text := os.Getenv(Variable)
	if text == "" {
		return def
	}
	parsed, err := Parse(text)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", Variable, err))
	}
	return parsed
}

// Run runs a subtest for each seed of the range in the environment, or of
// def. A failing seed logs the command that repeats it.
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

// RerunCommand returns the shell command, run from the module's root, that repeats
// the named test of the current package with one seed.
func RerunCommand(test string, seed uint64) string {
	top, _, _ := strings.Cut(test, "/")
	return fmt.Sprintf("%s=%d-%d go test -race -count=1 -run '^%s$' %s", Variable, seed, seed, top, currentPackage())
}

// currentPackage returns the path of the working folder below the module's
// root, as the go command takes it.
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
