package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/request/ledger"
	"cactusline.dev/cactusline/internal/version/ident"
)

// sidecar knows the attempts that its target ran or must never run, until it
// restarts.
type sidecar struct {
	incarnation ident.Incarnation
	seen        map[ident.AttemptID]bool
	tombstones  map[ident.AttemptID]bool
}

// message is an attempt that a router sends, perhaps long after its claim.
type message struct {
	claim ledger.Claim
	side  int
}

// world drives a ledger with routers, sidecars and a slow network, in random
// order, and counts how often each key really ran.
type world struct {
	random   *rand.Rand
	ledger   *ledger.Ledger
	now      time.Time
	sides    []*sidecar
	flying   []message
	claims   []message
	runs     map[ledger.Key]int
	attempts int
}

func newWorld(seed uint64, l *ledger.Ledger) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), ledger: l, now: time.Unix(1_000_000, 0),
		runs: map[ledger.Key]int{},
	}
	for range 3 {
		w.sides = append(w.sides, &sidecar{})
		w.restart(w.sides[len(w.sides)-1])
	}
	return w
}

func (w *world) restart(s *sidecar) {
	s.incarnation++
	s.seen = map[ident.AttemptID]bool{}
	s.tombstones = map[ident.AttemptID]bool{}
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(3000)) * time.Millisecond)
	switch w.random.IntN(10) {
	case 0, 1, 2:
		w.claim(nil)
	case 3, 4:
		w.deliver()
	case 5, 6:
		w.release()
	case 7:
		w.settleUnknown()
	case 8:
		if w.random.IntN(4) == 0 {
			w.restart(w.sides[w.random.IntN(len(w.sides))])
		}
	case 9:
		if w.random.IntN(30) == 0 {
			w.now = w.now.Add(20 * time.Minute)
		}
	}
}

// claim asks for one of few keys, so that resends are common.
func (w *world) claim(proof *ledger.Proof) {
	w.attempts++
	side := w.random.IntN(len(w.sides))
	c := ledger.Claim{
		Key: ledger.KeyOf("c", fmt.Sprint(w.random.IntN(6))), Fingerprint: 1,
		Attempt:     ident.AttemptID(fmt.Sprint("a", w.attempts)),
		Target:      ident.TargetName(fmt.Sprint("t", side)),
		Incarnation: w.sides[side].incarnation, Replaces: proof,
	}
	w.send(c, side)
}

func (w *world) send(c ledger.Claim, side int) {
	reply, err := w.ledger.Claim(w.now, c)
	if err != nil || !reply.Granted {
		return
	}
	m := message{claim: c, side: side}
	w.claims = append(w.claims, m)
	if w.random.IntN(5) > 0 {
		if w.random.IntN(2) == 0 {
			_, _ = w.ledger.Dispatch(w.now, c.Key, c.Attempt)
		}
		w.flying = append(w.flying, m)
	}
}

// deliver hands one message to its sidecar; the network may repeat it.
func (w *world) deliver() {
	if len(w.flying) == 0 {
		return
	}
	i := w.random.IntN(len(w.flying))
	m := w.flying[i]
	if w.random.IntN(4) > 0 {
		w.flying = slices.Delete(w.flying, i, i+1)
	}
	s := w.sides[m.side]
	attempt := m.claim.Attempt
	if s.incarnation != m.claim.Incarnation || s.tombstones[attempt] || s.seen[attempt] {
		return
	}
	if w.random.IntN(4) == 0 {
		// The sidecar refuses before dispatch, and for ever.
		s.tombstones[attempt] = true
		w.free(m, ledger.Proof{Kind: ledger.ProofRefused, Attempt: attempt, Incarnation: s.incarnation})
		return
	}
	s.seen[attempt] = true
	w.runs[m.claim.Key]++
	if w.random.IntN(3) > 0 {
		answer := &ledger.Answer{Status: 200, Body: []byte(attempt)}
		_, _ = w.ledger.Settle(w.now, ledger.Settlement{Key: m.claim.Key, Attempt: attempt, Answer: answer})
	}
}

// release looks into some claim's fate as a router does that found the key
// held, and hands in whatever it learns.
func (w *world) release() {
	if len(w.claims) == 0 {
		return
	}
	m := w.claims[w.random.IntN(len(w.claims))]
	s := w.sides[m.side]
	attempt := m.claim.Attempt
	proof := ledger.Proof{Kind: ledger.ProofTombstone, Attempt: attempt, Incarnation: s.incarnation}
	if s.seen[attempt] {
		return
	}
	s.tombstones[attempt] = true
	w.free(m, proof)
}

// free releases a claim, or replaces it by a new one in the same step.
func (w *world) free(m message, proof ledger.Proof) {
	if w.random.IntN(2) == 0 {
		_, _ = w.ledger.Release(w.now, m.claim.Key, proof)
		return
	}
	w.attempts++
	next := m.claim
	next.Attempt = ident.AttemptID(fmt.Sprint("a", w.attempts))
	next.Incarnation = w.sides[m.side].incarnation
	next.Replaces = &proof
	w.send(next, m.side)
}

func (w *world) settleUnknown() {
	if len(w.claims) == 0 {
		return
	}
	m := w.claims[w.random.IntN(len(w.claims))]
	_, _ = w.ledger.Settle(w.now, ledger.Settlement{Key: m.claim.Key, Attempt: m.claim.Attempt, Unknown: true})
}

// mostRuns returns the highest number of runs of any key.
func (w *world) mostRuns() int {
	most := 0
	for _, runs := range w.runs {
		most = max(most, runs)
	}
	return most
}
