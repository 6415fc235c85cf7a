package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/request/ledger"
	"cactusline.dev/cactusline/internal/version/ident"
)

// sidecar records which attempts it ran and which it refuses. A restart clears
// both.
type sidecar struct {
	incarnation ident.Incarnation
	ran         map[ident.AttemptID]bool
	refused     map[ident.AttemptID]bool
}

// message is an attempt sent by a router. It may arrive long after its claim.
type message struct {
	claim   ledger.Claim
	sidecar int // index in simulation.sidecars
}

// simulation applies random steps of routers, sidecars and a slow network to a
// ledger and counts the runs of each key.
type simulation struct {
	random   *rand.Rand
	ledger   *ledger.Ledger
	now      time.Time
	sidecars []*sidecar
	inFlight []message
	claims   []message
	runs     map[ledger.Key]int
	attempts int
}

func newSimulation(seed uint64, l *ledger.Ledger) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), ledger: l, now: time.Unix(1_000_000, 0),
		runs: map[ledger.Key]int{},
	}
	for range 3 {
		sim.sidecars = append(sim.sidecars, &sidecar{})
		sim.restart(sim.sidecars[len(sim.sidecars)-1])
	}
	return sim
}

func (sim *simulation) restart(s *sidecar) {
	s.incarnation++
	s.ran = map[ident.AttemptID]bool{}
	s.refused = map[ident.AttemptID]bool{}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(3000)) * time.Millisecond)
	switch sim.random.IntN(10) {
	case 0, 1, 2:
		sim.claim(nil)
	case 3, 4:
		sim.deliver()
	case 5, 6:
		sim.releaseByTombstone()
	case 7:
		sim.settleUnknown()
	case 8:
		if sim.random.IntN(4) == 0 {
			sim.restart(sim.sidecars[sim.random.IntN(len(sim.sidecars))])
		}
	case 9:
		if sim.random.IntN(30) == 0 {
			sim.now = sim.now.Add(20 * time.Minute)
		}
	}
}

// claim claims one of six keys, so that resends are common.
func (sim *simulation) claim(proof *ledger.Proof) {
	sim.attempts++
	index := sim.random.IntN(len(sim.sidecars))
	c := ledger.Claim{
		Key: ledger.KeyOf("c", fmt.Sprint(sim.random.IntN(6))), Fingerprint: 1,
		Attempt:     ident.AttemptID(fmt.Sprint("a", sim.attempts)),
		Target:      ident.TargetName(fmt.Sprint("t", index)),
		Incarnation: sim.sidecars[index].incarnation, ReplacementProof: proof,
	}
	sim.send(c, index)
}

func (sim *simulation) send(c ledger.Claim, index int) {
	reply, err := sim.ledger.Claim(sim.now, c)
	if err != nil || !reply.Granted {
		return
	}
	m := message{claim: c, sidecar: index}
	sim.claims = append(sim.claims, m)
	if sim.random.IntN(5) > 0 {
		if sim.random.IntN(2) == 0 {
			_, _ = sim.ledger.Dispatch(sim.now, c.Key, c.Attempt)
		}
		sim.inFlight = append(sim.inFlight, m)
	}
}

// deliver delivers a random message to its sidecar. The message may be
// duplicated.
func (sim *simulation) deliver() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.random.IntN(len(sim.inFlight))
	m := sim.inFlight[i]
	if sim.random.IntN(4) > 0 {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	}
	s := sim.sidecars[m.sidecar]
	attempt := m.claim.Attempt
	if s.incarnation != m.claim.Incarnation || s.refused[attempt] || s.ran[attempt] {
		return
	}
	if sim.random.IntN(4) == 0 {
		// The sidecar refuses the attempt before dispatch, for good.
		s.refused[attempt] = true
		sim.releaseOrReplace(m, ledger.Proof{Kind: ledger.ProofRefused, Attempt: attempt, Incarnation: s.incarnation})
		return
	}
	s.ran[attempt] = true
	sim.runs[m.claim.Key]++
	if sim.random.IntN(3) > 0 {
		answer := &ledger.Answer{Status: 200, Body: []byte(attempt)}
		_, _ = sim.ledger.Settle(sim.now, ledger.Settlement{Key: m.claim.Key, Attempt: attempt, Answer: answer})
	}
}

// releaseByTombstone tombstones the attempt of a random claim, as a router does
// that found its key held, and releases the claim if the sidecar had not
// received the attempt.
func (sim *simulation) releaseByTombstone() {
	if len(sim.claims) == 0 {
		return
	}
	m := sim.claims[sim.random.IntN(len(sim.claims))]
	s := sim.sidecars[m.sidecar]
	attempt := m.claim.Attempt
	proof := ledger.Proof{Kind: ledger.ProofTombstone, Attempt: attempt, Incarnation: s.incarnation}
	if s.ran[attempt] {
		return
	}
	s.refused[attempt] = true
	sim.releaseOrReplace(m, proof)
}

// releaseOrReplace releases a claim or replaces it with a new one in one step.
func (sim *simulation) releaseOrReplace(m message, proof ledger.Proof) {
	if sim.random.IntN(2) == 0 {
		_, _ = sim.ledger.Release(sim.now, m.claim.Key, proof)
		return
	}
	sim.attempts++
	next := m.claim
	next.Attempt = ident.AttemptID(fmt.Sprint("a", sim.attempts))
	next.Incarnation = sim.sidecars[m.sidecar].incarnation
	next.ReplacementProof = &proof
	sim.send(next, m.sidecar)
}

func (sim *simulation) settleUnknown() {
	if len(sim.claims) == 0 {
		return
	}
	m := sim.claims[sim.random.IntN(len(sim.claims))]
	_, _ = sim.ledger.Settle(sim.now, ledger.Settlement{Key: m.claim.Key, Attempt: m.claim.Attempt, OutcomeUnknown: true})
}

// maxRuns returns the highest number of runs of any key.
func (sim *simulation) maxRuns() int {
	most := 0
	for _, runs := range sim.runs {
		most = max(most, runs)
	}
	return most
}
