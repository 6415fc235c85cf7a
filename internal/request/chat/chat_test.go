package chat_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/request/chat"
)

const longRequest = `{"model":"m","temperature":0.5,"messages":[
	{"role":"system","content":"be brief"},
	{"role":"user","content":[{"type":"text","text":"hi"},{"type":"image_url","image_url":{"url":"u"}}],"name":"n"}],
	"stream":true,"max_tokens":9}`

func TestUnknownFieldsArePreserved(t *testing.T) {
	req, err := chat.Parse([]byte(longRequest))
	assert.NilError(t, err)
	written, err := json.Marshal(req)
	assert.NilError(t, err)
	var want, got any
	assert.NilError(t, json.Unmarshal([]byte(longRequest), &want))
	assert.NilError(t, json.Unmarshal(written, &got))
	assert.DeepEqual(t, got, want)
}

func TestDecodeRejectsInvalidRequests(t *testing.T) {
	for name, body := range map[string]string{
		"no JSON":      `{`,
		"no model":     `{"messages":[{"role":"user","content":"x"}]}`,
		"no messages":  `{"model":"m","messages":[]}`,
		"no role":      `{"model":"m","messages":[{"content":"x"}]}`,
		"bad content":  `{"model":"m","messages":[{"role":"user","content":7}]}`,
		"bad bound":    `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`,
		"too large":    `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", 200) + `"}]}`,
		"null request": `null`,
	} {
		_, err := chat.Decode(strings.NewReader(body), 150)
		var known *chat.DecodeError
		assert.Assert(t, errors.As(err, &known), "%s: %v", name, err)
		assert.Equal(t, known.TooLarge, name == "too large")
	}
}

func newChat(texts ...string) *chat.Request {
	req := &chat.Request{Model: "m", Messages: []chat.Message{{Role: chat.RoleSystem, Content: chat.TextContent("s")}}}
	for i, text := range texts {
		role := chat.RoleUser
		if i%2 == 1 {
			role = chat.RoleAssistant
		}
		req.Messages = append(req.Messages, chat.Message{Role: role, Content: chat.TextContent(text)})
	}
	return req
}

func TestKeyIsStableAsChatGrows(t *testing.T) {
	first := newChat("a").Key("c", "")
	assert.Equal(t, newChat("a", "b", "c").Key("c", ""), first)
	assert.Assert(t, newChat("b").Key("c", "") != first)
	assert.Assert(t, newChat("a").Key("d", "") != first)
	assert.Equal(t, newChat("a").Key("c", "k"), newChat("z").Key("c", "k"))
}

func TestBlockHashesOfLongerChatSharePrefix(t *testing.T) {
	long := strings.Repeat("word ", 100)
	short := chat.BlockHashes("m", newChat(long).Messages)
	grown := chat.BlockHashes("m", newChat(long, long, "x").Messages)
	assert.Assert(t, len(short) > 5 && len(grown) > len(short))
	assert.DeepEqual(t, grown[:len(short)], short)
	assert.Assert(t, chat.BlockHashes("n", newChat(long).Messages)[0] != short[0])
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(longRequest))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":null}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[]}],"messages":[]}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := chat.Parse(body)
		if err != nil {
			return
		}
		written, err := json.Marshal(req)
		assert.NilError(t, err)
		again, err := chat.Parse(written)
		assert.NilError(t, err, "%s", written)
		assert.Equal(t, again.Fingerprint("c"), req.Fingerprint("c"))
		assert.Equal(t, again.PromptTokens(), req.PromptTokens())
	})
}
