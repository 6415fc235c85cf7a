package ctrl_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/store"
)

func TestStampTimeRejectsNewerFormat(t *testing.T) {
	entry, err := proto.Marshal(&cmdpb.Command{
		Format: store.Format + 1,
		Body:   &cmdpb.Command_Tick{Tick: new(cmdpb.Tick)},
	})
	assert.NilError(t, err)
	_, err = ctrl.StampTime(time.Unix(1, 0), entry)
	var formatErr *store.FormatError
	assert.Assert(t, errors.As(err, &formatErr), "%v", err)
}

func TestStampTimeSetsTime(t *testing.T) {
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_Tick{Tick: new(cmdpb.Tick)}})
	assert.NilError(t, err)
	stamped, err := ctrl.StampTime(time.Unix(1, 5), entry)
	assert.NilError(t, err)
	command, err := store.DecodeCommand(stamped)
	assert.NilError(t, err)
	assert.Equal(t, command.GetTime(), time.Unix(1, 5).UnixNano())
}
