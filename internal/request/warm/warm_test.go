package warm_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/request/warm"
	"cactusline.dev/cactusline/internal/version/ident"
)

func TestLeastRecentlyUsedGoesFirst(t *testing.T) {
	index := warm.New(warm.Config{Capacity: 100})
	index.Put(1, 40)
	index.Put(2, 40)
	index.Put(1, 50)
	index.Put(3, 30)
	assert.Equal(t, index.Get(2), ident.Tokens(0))
	assert.Equal(t, index.Get(1), ident.Tokens(50))
	assert.DeepEqual(t, index.Hottest(2), []ident.ChatKey{3, 1})
	index.Reset()
	assert.Equal(t, index.Get(1), ident.Tokens(0))
}

func TestLongerThanTheCacheIsNotHeld(t *testing.T) {
	index := warm.New(warm.Config{Capacity: 100})
	index.Put(1, 101)
	assert.Equal(t, index.Get(1), ident.Tokens(0))
}
