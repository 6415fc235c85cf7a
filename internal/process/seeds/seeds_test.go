package seeds_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
)

func TestFromEnv(t *testing.T) {
	def := seeds.Range{First: 1, Last: 3}
	t.Setenv(seeds.EnvVar, "")
	assert.Equal(t, seeds.FromEnv(def), def)
	t.Setenv(seeds.EnvVar, "7-9")
	assert.Equal(t, seeds.FromEnv(def), seeds.Range{First: 7, Last: 9})
	t.Setenv(seeds.EnvVar, "12")
	assert.Equal(t, seeds.FromEnv(def), seeds.Range{First: 12, Last: 12})
	for _, text := range []string{"x", "3-", "9-7", "-1"} {
		_, err := seeds.Parse(text)
		assert.Assert(t, err != nil, text)
	}
}

func TestRunAndCommand(t *testing.T) {
	t.Setenv(seeds.EnvVar, "4-6")
	var seen []uint64
	seeds.Run(t, seeds.Range{}, func(_ *testing.T, seed uint64) { seen = append(seen, seed) })
	assert.DeepEqual(t, seen, []uint64{4, 5, 6})
	want := "CACTUSLINE_TEST_SEEDS=5-5 go test -race -count=1 -run '^TestX$' ./internal/process/seeds"
	assert.Equal(t, seeds.RerunCommand("TestX/5", 5), want)
}
