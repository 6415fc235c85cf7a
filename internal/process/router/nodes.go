package router

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// nodes holds a node for each target that was ever asked for. Its zero value
// is empty.
type nodes struct {
	shards [nodeShards]nodeShard
}

type nodeShard struct {
	mu     sync.RWMutex
	byName map[ident.TargetName]*node
}

// get returns the target's node, a new one if there is none yet.
func (n *nodes) get(target ident.TargetName) *node {
	shard := &n.shards[xxhash.Sum64String(string(target))%nodeShards]
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
		shard.byName = make(map[ident.TargetName]*node)
	}
	found = new(node)
	shard.byName[target] = found
	return found
}
