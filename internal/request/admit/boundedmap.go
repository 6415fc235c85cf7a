package admit

import "container/list"

// boundedMap is a map with at most limit entries. Beyond that, put evicts the
// entry that was written longest ago.
type boundedMap[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List
}

type mapEntry[K comparable, V any] struct {
	key   K
	value V
}

func newBoundedMap[K comparable, V any](limit int) *boundedMap[K, V] {
	return &boundedMap[K, V]{limit: limit, entries: make(map[K]*list.Element), order: list.New()}
}

func (m *boundedMap[K, V]) get(key K) (V, bool) {
	if e, ok := m.entries[key]; ok {
		return e.Value.(*mapEntry[K, V]).value, true
	}
	var zero V
	return zero, false
}

func (m *boundedMap[K, V]) put(key K, value V) {
	m.remove(key)
	m.entries[key] = m.order.PushBack(&mapEntry[K, V]{key: key, value: value})
	if m.order.Len() > m.limit {
		m.remove(m.order.Front().Value.(*mapEntry[K, V]).key)
	}
}

func (m *boundedMap[K, V]) remove(key K) {
	if e, ok := m.entries[key]; ok {
		m.order.Remove(e)
		delete(m.entries, key)
	}
}
