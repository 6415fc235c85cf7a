package carry_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/request/carry"
)

func always() bool { return true }

func never() bool { return false }

func TestNext(t *testing.T) {
	once := carry.Request{Attempts: 2}
	safe := carry.Request{Repeatable: true, RetryFailed: true, Attempts: 2}
	cases := []struct {
		name    string
		request carry.Request
		began   bool
		allow   func() bool
		results []carry.Result
		want    carry.Step
	}{
		{"answered", once, false, always, []carry.Result{carry.Answered}, carry.Finish},
		{"nothing sent", once, false, never, []carry.Result{carry.NotSent}, carry.Again},
		{"turned down", once, false, always, []carry.Result{carry.Refused}, carry.Again},
		{"turned down, no budget", once, false, never, []carry.Result{carry.Refused}, carry.Refuse},
		{"runs once and is lost", once, false, always, []carry.Result{carry.Lost}, carry.Unknown},
		{"lost after a refusal", once, false, always, []carry.Result{carry.Refused, carry.Lost}, carry.Unknown},
		{"safe and lost", safe, false, always, []carry.Result{carry.Lost}, carry.Again},
		{"safe and lost twice", safe, false, always, []carry.Result{carry.Lost, carry.Lost}, carry.Unknown},
		{"safe and failed", safe, false, always, []carry.Result{carry.Failed}, carry.Again},
		{"safe, failed, then lost", safe, false, always, []carry.Result{carry.Failed, carry.Lost}, carry.Pass},
		{"safe, lost, then turned down", safe, false, never, []carry.Result{carry.Lost}, carry.Unknown},
		{"runs once and fails", once, false, always, []carry.Result{carry.Failed}, carry.Pass},
		{"late", once, false, always, []carry.Result{carry.Late}, carry.Expire},
		{"late in a stream", once, true, always, []carry.Result{carry.Late}, carry.Abort},
		{"stream that runs once breaks", once, true, always, []carry.Result{carry.Broken}, carry.Abort},
		{"resumable stream breaks", safe, true, always, []carry.Result{carry.Broken}, carry.Resume},
		{"resumable stream breaks twice", safe, true, always, []carry.Result{carry.Broken, carry.Broken}, carry.Abort},
		{"caller left", safe, false, always, []carry.Result{carry.Left}, carry.Abort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.began {
				c.request.Began()
			}
			var step carry.Step
			for _, result := range c.results {
				step = c.request.Next(result, c.allow)
			}
			assert.Equal(t, step, c.want, "%v", step)
		})
	}
}

// Whatever the results: what may run once is never sent after it may have run,
// a refusal is never given after it may have run, no more targets run a request
// than its route allows, and the caller of a started stream gets no other
// answer.
func TestRandomisedPromisesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := carry.Request{
			Repeatable:  rapid.Bool().Draw(t, "repeatable"),
			RetryFailed: rapid.Bool().Draw(t, "retryFailed"),
			Attempts:    rapid.IntRange(1, 3).Draw(t, "attempts"),
		}
		began := false
		runs := 0
		for sends := 1; ; sends++ {
			assert.Assert(t, sends <= 4)
			result := carry.Result(rapid.IntRange(int(carry.NotSent), int(carry.Left)).Draw(t, "result"))
			if result == carry.Broken && !began {
				request.Began()
				began = true
			}
			if result != carry.NotSent && result != carry.Refused {
				runs++
			}
			step := request.Next(result, func() bool { return rapid.Bool().Draw(t, "allow") })
			again := step == carry.Again || step == carry.Resume
			assert.Assert(t, !again || runs == 0 || (request.Repeatable && runs < request.Attempts))
			assert.Assert(t, step != carry.Refuse || runs == 0)
			assert.Assert(t, !began || step == carry.Abort || step == carry.Resume || step == carry.Finish)
			assert.Assert(t, step != carry.Pass || result == carry.Failed || runs > 0)
			if !again {
				return
			}
		}
	})
}
