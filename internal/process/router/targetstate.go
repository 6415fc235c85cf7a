package router

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// targetStates holds the state of each target that was ever looked up. Entries are
// never removed. The zero value is empty and ready for use.
type targetStates struct {
	shards [stateShards]stateShard
}

type stateShard struct {
	mu     sync.RWMutex
	byName map[ident.TargetName]*targetState
}

// get returns the target's state, creating it if there is none.
func (s *targetStates) get(target ident.TargetName) *targetState {
	shard := &s.shards[xxhash.Sum64String(string(target))%stateShards]
	shard.mu.RLock()
	found, ok := shard.byName[target]
	shard.mu.RUnlock()
	if ok {
		return found
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if found, ok = shard.byName[target]; ok {
		return found
	}
	if shard.byName == nil {
		shard.byName = make(map[ident.TargetName]*targetState)
	}
	found = new(targetState)
	shard.byName[target] = found
	return found
}
