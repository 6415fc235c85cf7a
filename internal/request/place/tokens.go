package place

import "cactusline.dev/cactusline/internal/version/ident"

// maxTokenShare is the part of a target's memory that requests in flight may need. The rest
// covers what other processes have sent there since their last reports.
const maxTokenShare = 0.9

// Tokens are the sizes of a request. The zero value is that of a request of unknown size.
type Tokens struct {
	// Prompt is the size of the whole prompt, and Output the most that may be generated.
	Prompt, Output ident.Tokens
	// Parts are the sizes of the parts of the prompt, in their order.
	Parts []ident.Tokens
	// Capacity is what a target of the service can hold, 0 if unknown.
	Capacity ident.Tokens
}

// known reports whether the request counts in tokens.
func (t *Tokens) known() bool { return t.Capacity > 0 && t.Prompt+t.Output > 0 }

// tokenUse is the tokens of the requests that this process has in flight at a target.
type tokenUse struct {
	// total counts a shared part of prompts once, and own no shared part at all. Only own
	// is reported: the same parts are in flight from many processes, and would count for
	// each of them.
	total, own ident.Tokens
	// shared are the shared parts in flight, by the hash of the prompt up to their end.
	shared map[uint64]sharedPart
}

// sharedPart is a part of prompts that one or more requests in flight have.
type sharedPart struct {
	requests int
	tokens   ident.Tokens
}

// tokenHold is what one request in flight holds at its target, to be released at its end.
type tokenHold struct {
	shared []uint64
	own    ident.Tokens
}

// sharedTokens calls visit with each shared part of the prompt, and returns the tokens that
// are not in one.
func (r *Request) sharedTokens(visit func(hash uint64, tokens ident.Tokens)) ident.Tokens {
	own := r.Tokens.Prompt
	if len(r.Parts) > 1 {
		for i, hash := range r.prefixHashes() {
			if i >= len(r.Tokens.Parts) {
				break
			}
			tokens := min(own, r.Tokens.Parts[i])
			own -= tokens
			visit(hash, tokens)
		}
	}
	return own + r.Tokens.Output
}

// needs returns the tokens that a request adds at the target.
func (u *tokenUse) needs(req *Request) ident.Tokens {
	var added ident.Tokens
	own := req.sharedTokens(func(hash uint64, tokens ident.Tokens) {
		if u.shared[hash].requests == 0 {
			added += tokens
		}
	})
	return added + own
}

// hold counts a request that is sent to the target.
func (u *tokenUse) hold(req *Request) tokenHold {
	if !req.Tokens.known() {
		return tokenHold{}
	}
	if u.shared == nil {
		u.shared = make(map[uint64]sharedPart)
	}
	var held tokenHold
	held.own = req.sharedTokens(func(hash uint64, tokens ident.Tokens) {
		part := u.shared[hash]
		if part.requests == 0 {
			part.tokens = tokens
			u.total += tokens
		}
		part.requests++
		u.shared[hash] = part
		held.shared = append(held.shared, hash)
	})
	u.total += held.own
	u.own += held.own
	return held
}

// release ends what hold has counted.
func (u *tokenUse) release(held tokenHold) {
	u.total -= held.own
	u.own -= held.own
	for _, hash := range held.shared {
		part := u.shared[hash]
		if part.requests--; part.requests > 0 {
			u.shared[hash] = part
			continue
		}
		u.total -= part.tokens
		delete(u.shared, hash)
	}
}

// ReleaseTokens ends the counting of the tokens of a request that Choose began.
func (b *Balancer) ReleaseTokens(choice Choice) {
	t := choice.Target
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	t.tokens.release(choice.held)
}

// tokensInFlight returns the tokens at the target, of this process and of the others.
func (t *Target) tokensInFlight() ident.Tokens { return t.tokens.total + t.remoteTokens }

// withRoom returns the targets that can hold the request beside those in flight. If none
// can, full is set, and it returns all: one alone, the least full, would get the requests of
// all processes until the next news.
func withRoom(targets []*Target, req *Request) (room []*Target, full bool) {
	if !req.Tokens.known() || len(targets) == 0 {
		return targets, false
	}
	room = make([]*Target, 0, len(targets))
	for _, t := range targets {
		total := t.tokensInFlight() + t.tokens.needs(req)
		if float64(total) <= maxTokenShare*float64(req.Tokens.Capacity) {
			room = append(room, t)
		}
	}
	if len(room) == 0 {
		return targets, true
	}
	return room, false
}
