package carry_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/request/carry"
)

func allow() bool { return true }

func deny() bool { return false }

func TestNext(t *testing.T) {
	unrepeatable := carry.RetryState{MaxRuns: 2}
	repeatable := carry.RetryState{Repeatable: true, RetryFailed: true, MaxRuns: 2}
	cases := []struct {
		name       string
		state      carry.RetryState
		started    bool
		allowRetry func() bool
		results    []carry.Result
		want       carry.Action
	}{
		{"completed", unrepeatable, false, allow, []carry.Result{carry.Completed}, carry.Finish},
		{"not sent", unrepeatable, false, deny, []carry.Result{carry.NotSent}, carry.Retry},
		{"refused", unrepeatable, false, allow, []carry.Result{carry.Refused}, carry.Retry},
		{"refused, no budget", unrepeatable, false, deny, []carry.Result{carry.Refused}, carry.Reject},
		{"unrepeatable, lost", unrepeatable, false, allow, []carry.Result{carry.ResponseLost}, carry.ReportUnknown},
		{"unrepeatable, refused, then lost", unrepeatable, false, allow, []carry.Result{carry.Refused, carry.ResponseLost}, carry.ReportUnknown},
		{"repeatable, lost", repeatable, false, allow, []carry.Result{carry.ResponseLost}, carry.Retry},
		{"repeatable, lost twice", repeatable, false, allow, []carry.Result{carry.ResponseLost, carry.ResponseLost}, carry.ReportUnknown},
		{"repeatable, failed", repeatable, false, allow, []carry.Result{carry.TargetFailed}, carry.Retry},
		{"repeatable, failed, then lost", repeatable, false, allow, []carry.Result{carry.TargetFailed, carry.ResponseLost}, carry.ForwardFailure},
		{"repeatable, lost, no budget", repeatable, false, deny, []carry.Result{carry.ResponseLost}, carry.ReportUnknown},
		{"unrepeatable, failed", unrepeatable, false, allow, []carry.Result{carry.TargetFailed}, carry.ForwardFailure},
		{"deadline exceeded", unrepeatable, false, allow, []carry.Result{carry.DeadlineExceeded}, carry.ReportTimeout},
		{"deadline exceeded in a stream", unrepeatable, true, allow, []carry.Result{carry.DeadlineExceeded}, carry.Abort},
		{"unrepeatable stream, truncated", unrepeatable, true, allow, []carry.Result{carry.Truncated}, carry.Abort},
		{"resumable stream, truncated", repeatable, true, allow, []carry.Result{carry.Truncated}, carry.Resume},
		{"resumable stream, truncated twice", repeatable, true, allow, []carry.Result{carry.Truncated, carry.Truncated}, carry.Abort},
		{"caller gone", repeatable, false, allow, []carry.Result{carry.CallerGone}, carry.Abort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.started {
				c.state.MarkStarted()
			}
			var action carry.Action
			for _, result := range c.results {
				action = c.state.Next(result, c.allowRetry)
			}
			assert.Equal(t, action, c.want, "%v", action)
		})
	}
}

// For any sequence of results: a request that may run once is never retried after
// it may have run, and never rejected after that; no more than MaxRuns targets run
// a request; and the caller of a started stream gets no other response.
func TestRandomisedRetryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := carry.RetryState{
			Repeatable:  rapid.Bool().Draw(t, "repeatable"),
			RetryFailed: rapid.Bool().Draw(t, "retryFailed"),
			MaxRuns:     rapid.IntRange(1, 3).Draw(t, "attempts"),
		}
		started := false
		runs := 0
		for attempts := 1; ; attempts++ {
			assert.Assert(t, attempts <= 4)
			result := carry.Result(rapid.IntRange(int(carry.NotSent), int(carry.CallerGone)).Draw(t, "result"))
			if result == carry.Truncated && !started {
				state.MarkStarted()
				started = true
			}
			if result != carry.NotSent && result != carry.Refused {
				runs++
			}
			action := state.Next(result, func() bool { return rapid.Bool().Draw(t, "allow") })
			retried := action == carry.Retry || action == carry.Resume
			assert.Assert(t, !retried || runs == 0 || (state.Repeatable && runs < state.MaxRuns))
			assert.Assert(t, action != carry.Reject || runs == 0)
			assert.Assert(t, !started || action == carry.Abort || action == carry.Resume || action == carry.Finish)
			assert.Assert(t, action != carry.ForwardFailure || result == carry.TargetFailed || runs > 0)
			if !retried {
				return
			}
		}
	})
}
