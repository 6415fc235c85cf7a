package store_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// randomCommand draws from few names and ids, so that operators race, resend
// and reuse, and requests meet in the ledger.
func randomCommand(random *rand.Rand) *cmdpb.Command {
	change := fmt.Sprint("c", random.IntN(200))
	name := fmt.Sprint("s", random.IntN(4))
	version := uint64(random.IntN(6))
	key, attempt := fmt.Sprint("k", random.IntN(20)), fmt.Sprint("a", random.IntN(60))
	switch random.IntN(12) {
	case 0, 1, 2:
		return applyOf(change, service(name, version, fmt.Sprint("p", random.IntN(3))))
	case 3:
		return applyOf(change, service(name, version, "x"), replicaTarget(fmt.Sprint("t", random.IntN(3)), name))
	case 4:
		return retireOf(change, "Service", name, version)
	case 5:
		return retireOf(change, "Target", fmt.Sprint("t", random.IntN(3)), version)
	case 6:
		return drainOf(change, "vm1", random.IntN(2) == 0)
	case 7, 8:
		return claimOf(key, attempt, uint64(random.IntN(2)))
	case 9:
		return settleOf(key, attempt, []byte(attempt))
	case 10:
		return &cmdpb.Command{Body: &cmdpb.Command_Crash{Crash: &cmdpb.CrashReport{
			Target: fmt.Sprint("t", random.IntN(3)), Incarnation: version, Number: version,
			Fingerprints: []uint64{random.Uint64N(5)},
		}}}
	}
	return &cmdpb.Command{Body: &cmdpb.Command_Register{Register: &cmdpb.RegisterProcess{
		Process: name, Nonce: random.Uint64N(4),
	}}}
}

// TestRandomisedReplicasAgree drives one log through three replicas. One of
// them is replaced now and then by a copy restored from another's snapshot.
// Every result and the final states must be the same bytes; watchers that
// follow by deltas must hold the full set; no revision or version reverts; and
// a change id gets one answer.
func TestRandomisedReplicasAgree(t *testing.T) {
	cfg := store.Config{HistoryRevisions: 8}
	seeds.Run(t, seeds.Range{First: 1, Last: 10}, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 2))
		lead := newReplica(t, cfg)
		followers := []*store.Store{store.New(cfg), store.New(cfg)}
		watchers := []*record.Set{{}, {}, {}}
		answers := map[string][]byte{}
		versions := map[record.Key]ident.Version{}
		for range 500 {
			if random.IntN(20) == 0 {
				lead.now = lead.now.Add(time.Duration(random.IntN(3600)) * time.Second)
			}
			before := lead.store.Revision()
			command := randomCommand(random)
			lead.apply(command)
			entry := lead.log[len(lead.log)-1]
			var result []byte
			for _, follower := range followers {
				again := follower.Apply(lead.index, entry)
				assert.Assert(t, result == nil || bytes.Equal(result, again), "replicas answer differently")
				result = again
			}
			checkAnswer(t, answers, command, result)
			checkRising(t, lead.store, before, versions)
			follow(t, random, lead.store, watchers)
			if random.IntN(40) == 0 {
				i := random.IntN(2)
				followers[i] = store.New(cfg)
				assert.NilError(t, followers[i].Restore(snapshotOf(t, followers[1-i])))
			}
		}
		for _, follower := range followers {
			assert.Assert(t, bytes.Equal(snapshotOf(t, follower), lead.snapshot()), "replicas differ")
		}
	})
}

func snapshotOf(t testing.TB, s *store.Store) []byte {
	t.Helper()
	data, err := s.Snapshot()
	assert.NilError(t, err)
	return data
}

// checkAnswer checks that a change id gets its first answer again, or is
// refused for another change.
func checkAnswer(t testing.TB, answers map[string][]byte, c *cmdpb.Command, result []byte) {
	t.Helper()
	if c.GetChange() == "" {
		return
	}
	first, found := answers[c.GetChange()]
	if !found {
		answers[c.GetChange()] = result
		return
	}
	decoded, err := store.DecodeResult(result)
	assert.NilError(t, err)
	reused := decoded.GetStatus() == cmdpb.Status_STATUS_CHANGE_REUSED
	assert.Assert(t, reused || bytes.Equal(result, first), "change %s got another answer", c.GetChange())
}

// checkRising checks that neither the revision nor any record's version fell.
func checkRising(t testing.TB, s *store.Store, before ident.Revision, versions map[record.Key]ident.Version) {
	t.Helper()
	assert.Assert(t, s.Revision() >= before)
	for _, r := range s.Set().List("") {
		assert.Assert(t, r.Version() >= versions[r.Key()], "%s reverted", r.Key())
		versions[r.Key()] = r.Version()
	}
}

// follow lets watchers catch up at random and compares them with the store.
func follow(t testing.TB, random *rand.Rand, s *store.Store, watchers []*record.Set) {
	t.Helper()
	for i, watcher := range watchers {
		if random.IntN(8) > 0 {
			continue
		}
		next, err := watcher.Apply(s.DeltaSince(watcher.Revision()))
		assert.NilError(t, err)
		watchers[i] = next
		assert.Equal(t, next.Revision(), s.Revision())
		want, got := s.Set().List(""), next.List("")
		assert.Equal(t, len(got), len(want))
		for j := range want {
			assert.Equal(t, string(got[j].JSON()), string(want[j].JSON()))
		}
	}
}

func TestRandomisedChangesAreLinearizable(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 40}, func(t *testing.T, seed uint64) {
		assert.Assert(t, porcupine.CheckOperations(casModel, race(t, seed, true)))
	})
}

// TestWithoutChangeIDsAResendIsSeen shows that change ids are what makes a
// resend after a lost answer the same operation.
func TestWithoutChangeIDsAResendIsSeen(t *testing.T) {
	broken := 0
	for seed := uint64(1); seed <= 40; seed++ {
		if !porcupine.CheckOperations(casModel, race(t, seed, false)) {
			broken++
		}
	}
	assert.Assert(t, broken > 0)
	t.Logf("%d of 40 seeds are not linearizable", broken)
}

// cell is the state of one record and also what an operation saw of it.
type cell struct {
	version uint64
	pool    string
}

type casInput struct {
	wanted uint64
	pool   string
}

type casOutput struct {
	done bool
	seen cell
	// lost says that no operator learnt the output.
	lost bool
}

// casModel says what one operator at a time would see.
var casModel = porcupine.Model{
	Init: func() any { return cell{} },
	Step: func(state, input, output any) (bool, any) {
		out := output.(casOutput)
		next, want := casStep(state.(cell), input.(casInput))
		return out.lost || out == want, next
	},
}

// casStep returns the state after a change and what its operator sees.
func casStep(now cell, in casInput) (cell, casOutput) {
	same := now.version > 0 && in.pool == now.pool &&
		(in.wanted == 0 || in.wanted == now.version || in.wanted+1 == now.version)
	switch {
	case same:
		return now, casOutput{done: true, seen: now}
	case in.wanted == now.version:
		next := cell{version: now.version + 1, pool: in.pool}
		return next, casOutput{done: true, seen: next}
	}
	return now, casOutput{seen: now}
}

// operation is one operator's change, resent until an answer arrives.
type operation struct {
	client int
	change string
	input  casInput
	call   int64
	done   bool
}

// race lets four operators change one record through a network that loses
// answers and delivers resends late, and returns what they saw.
func race(t testing.TB, seed uint64, withIDs bool) []porcupine.Operation {
	random := rand.New(rand.NewPCG(seed, 3))
	r := newReplica(t, store.Config{})
	var history []porcupine.Operation
	var operations []*operation
	busy := make([]bool, 4)
	known := make([]cell, 4)
	for now := int64(1); now < 120; now++ {
		if client := random.IntN(4); !busy[client] && random.IntN(2) == 0 {
			busy[client] = true
			input := casInput{wanted: known[client].version, pool: fmt.Sprint("p", random.IntN(6))}
			operations = append(operations, &operation{
				client: client, change: fmt.Sprint("c", now), input: input, call: now,
			})
			continue
		}
		if len(operations) == 0 {
			continue
		}
		first := max(0, len(operations)-6)
		op := operations[first+random.IntN(len(operations)-first)]
		change := op.change
		if !withIDs {
			change = ""
		}
		result := r.apply(applyOf(change, service("s", op.input.wanted, op.input.pool)))
		if lost := random.IntN(2) == 0; lost || op.done {
			continue
		}
		op.done, busy[op.client] = true, false
		output := outputOf(t, result, op.input)
		known[op.client] = output.seen
		history = append(history, porcupine.Operation{
			ClientId: op.client, Input: op.input, Call: op.call, Output: output, Return: now,
		})
	}
	return append(history, unanswered(operations)...)
}

// unanswered returns the operations whose output no operator learnt. They
// count as under way to the end.
func unanswered(operations []*operation) []porcupine.Operation {
	var out []porcupine.Operation
	for _, op := range operations {
		if !op.done {
			out = append(out, porcupine.Operation{
				ClientId: op.client, Input: op.input, Call: op.call,
				Output: casOutput{lost: true}, Return: 1 << 40,
			})
		}
	}
	return out
}

func outputOf(t testing.TB, result *cmdpb.Result, input casInput) casOutput {
	t.Helper()
	if result.GetStatus() == ok {
		return casOutput{done: true, seen: cell{version: result.GetCommitted()[0].GetVersion(), pool: input.pool}}
	}
	assert.Equal(t, result.GetStatus(), conflict)
	winner, err := record.ParseCommitted(result.GetConflicts()[0].GetWinner())
	assert.NilError(t, err)
	value := winner.Value().(*record.Service)
	return casOutput{seen: cell{version: uint64(value.Version), pool: value.Pool}}
}
