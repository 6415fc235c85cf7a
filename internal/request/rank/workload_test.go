package rank_test

import (
	"math/rand/v2"
	"time"

	"cactusline.dev/cactusline/internal/request/rank"
)

// size describes a fleet and its load.
type size struct {
	name                      string
	engines, domains, routers int
	customers                 int
	// rate is in requests per second.
	rate float64
	// firstPrompt, fresh and output are mean numbers of tokens: of a new chat's
	// opening, of each turn's new input and of its answer.
	firstPrompt, fresh, output int
	// cache is the size of an engine's prefix cache in tokens.
	cache                   int
	duration, warmUp        time.Duration
	localDelay, remoteDelay time.Duration
}

var sizes = []size{
	{"kivijarvi", 10, 3, 3, 10, 40, 600, 60, 150, 200_000, 60 * time.Second, 20 * time.Second, time.Millisecond, 5 * time.Millisecond},
	{"darsiraj", 10, 4, 4, 10, 15, 5000, 100, 200, 400_000, 60 * time.Second, 20 * time.Second, time.Millisecond, 4 * time.Millisecond},
	{"letter1", 700, 6, 410, 920, 3000, 1500, 80, 227, 300_000, 30 * time.Second, 15 * time.Second, time.Millisecond, 8 * time.Millisecond},
	{"letter1-2000", 700, 6, 2000, 920, 3000, 1500, 80, 227, 300_000, 30 * time.Second, 15 * time.Second, time.Millisecond, 8 * time.Millisecond},
}

// request is one turn of a chat, with its progress in the run.
type request struct {
	at               time.Duration
	id               int
	chat             uint64
	customer, router int
	// prefix, fresh and output are numbers of tokens.
	prefix, fresh, output         int
	poison, urgent                bool
	engine                        *engine
	promptLeft, outputLeft, tries int
	queuedOffer                   rank.Offer
	plan                          *rank.Plan
}

// chatState is a chat that may return.
type chatState struct {
	key    uint64
	tokens int
	last   time.Duration
}

// surges reports whether a customer is one of the three that surge.
func surges(customer int) bool { return customer < 3 }

// makeWorkload returns random requests for a run. It is deterministic: equal
// arguments give equal requests.
func makeWorkload(s size, scenario string, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 7))
	weights, total := make([]float64, s.customers), 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+2)
		total += weights[i]
	}
	chats := make([][]*chatState, s.customers)
	var work []*request
	for at := time.Duration(0); at < s.duration; {
		surge := 1.0
		if scenario == "surge" && at > s.duration/2 && at < s.duration*3/4 {
			surge = 4
		}
		sum := total + (surge-1)*(weights[0]+weights[1]+weights[2])
		at += time.Duration(rng.ExpFloat64() / (s.rate * sum / total) * float64(time.Second))
		customer := drawCustomer(rng, weights, sum, surge)
		c := drawChat(rng, s, &chats[customer], at)
		r := &request{at: at, id: len(work), chat: c.key, customer: customer, router: rng.IntN(s.routers), prefix: c.tokens}
		r.fresh = 1 + int(rng.ExpFloat64()*float64(s.fresh))
		if c.tokens == 0 {
			r.fresh += int(float64(s.firstPrompt) * (0.5 + rng.ExpFloat64()/2))
		}
		r.output = 20 + int(rng.ExpFloat64()*float64(s.output-20))
		c.tokens += r.fresh + r.output
		c.last = at
		work = append(work, r)
	}
	if scenario == "death" {
		work[len(work)/2].poison = true
	}
	return work
}

// drawCustomer returns a random customer by weight; surging customers have theirs
// multiplied by surge.
func drawCustomer(rng *rand.Rand, weights []float64, sum, surge float64) int {
	x := rng.Float64() * sum
	for i, w := range weights {
		if surges(i) {
			w *= surge
		}
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// drawChat returns a random chat that has been idle for some time, preferring
// recent ones, or a new chat.
func drawChat(rng *rand.Rand, s size, chats *[]*chatState, at time.Duration) *chatState {
	for range 4 {
		n := len(*chats)
		if n == 0 || rng.IntN(6) == 0 {
			break
		}
		x := rng.Float64()
		c := (*chats)[n-1-int(x*x*float64(min(n, 200)))%n]
		if at-c.last > 6*time.Second && c.tokens < 4*s.firstPrompt+4000 {
			return c
		}
	}
	c := &chatState{key: rng.Uint64() | 1}
	*chats = append(*chats, c)
	return c
}
