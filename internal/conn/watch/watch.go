// Package watch follows the records that the control processes commit. It
// receives them from any control process, or from any other process that has a
// higher revision. The revision that a follower holds never decreases.
package watch

import (
	"fmt"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// EncodeDelta returns the update message that carries a delta.
func EncodeDelta(delta record.Delta) *wire.Update {
	update := &wire.Update{
		From:     uint64(delta.From),
		Revision: uint64(delta.To),
		Full:     delta.Full,
	}
	for _, r := range delta.Records {
		update.Records = append(update.Records, r.JSON())
	}
	for _, key := range delta.Retired {
		update.Retired = append(update.Retired, key.String())
	}
	return update
}

// DecodeDelta returns the delta that an update message carries.
func DecodeDelta(update *wire.Update) (record.Delta, error) {
	delta := record.Delta{
		From: ident.Revision(update.GetFrom()),
		To:   ident.Revision(update.GetRevision()),
		Full: update.GetFull(),
	}
	for _, data := range update.GetRecords() {
		r, err := record.Parse(data)
		if err != nil {
			return record.Delta{}, fmt.Errorf("record in update to revision %d: %w", delta.To, err)
		}
		delta.Records = append(delta.Records, r)
	}
	for _, text := range update.GetRetired() {
		key, err := record.ParseKey(text)
		if err != nil {
			return record.Delta{}, fmt.Errorf("retired record in update to revision %d: %w", delta.To, err)
		}
		delta.Retired = append(delta.Retired, key)
	}
	return delta, nil
}
