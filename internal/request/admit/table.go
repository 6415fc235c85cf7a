package admit

import "container/list"

// table is a bounded map; the entry that was written longest ago goes first.
type table[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List
}

type row[K comparable, V any] struct {
	key   K
	value V
}

func newTable[K comparable, V any](limit int) *table[K, V] {
	return &table[K, V]{limit: limit, entries: make(map[K]*list.Element), order: list.New()}
}

func (t *table[K, V]) get(key K) (V, bool) {
	if e, ok := t.entries[key]; ok {
		return e.Value.(*row[K, V]).value, true
	}
	var zero V
	return zero, false
}

func (t *table[K, V]) put(key K, value V) {
	t.forget(key)
	t.entries[key] = t.order.PushBack(&row[K, V]{key: key, value: value})
	if t.order.Len() > t.limit {
		t.forget(t.order.Front().Value.(*row[K, V]).key)
	}
}

func (t *table[K, V]) forget(key K) {
	if e, ok := t.entries[key]; ok {
		t.order.Remove(e)
		delete(t.entries, key)
	}
}
