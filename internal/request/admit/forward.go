package admit

import (
	"container/list"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Forward says where a chat was served last.
type Forward struct {
	Target ident.TargetName
	// Tokens is how much of the chat's prefix is warm there.
	Tokens ident.Tokens
	At     time.Time
}

// forwards is a bounded table from chats to where they were served; the
// entry that was written longest ago goes first.
type forwards struct {
	limit   int
	entries map[ident.ChatKey]*list.Element
	order   *list.List
}

type forwardEntry struct {
	chat    ident.ChatKey
	forward Forward
}

func newForwards(limit int) *forwards {
	return &forwards{limit: limit, entries: make(map[ident.ChatKey]*list.Element), order: list.New()}
}

func (f *forwards) get(chat ident.ChatKey) (Forward, bool) {
	if e, ok := f.entries[chat]; ok {
		return e.Value.(*forwardEntry).forward, true
	}
	return Forward{}, false
}

func (f *forwards) put(chat ident.ChatKey, to Forward) {
	f.forget(chat)
	f.entries[chat] = f.order.PushBack(&forwardEntry{chat: chat, forward: to})
	if f.order.Len() > f.limit {
		f.forget(f.order.Front().Value.(*forwardEntry).chat)
	}
}

func (f *forwards) forget(chat ident.ChatKey) {
	if e, ok := f.entries[chat]; ok {
		f.order.Remove(e)
		delete(f.entries, chat)
	}
}
