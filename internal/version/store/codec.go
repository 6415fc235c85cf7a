package store

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
)

// Format is the newest format of commands that this program applies and
// writes. The rules of a format never change; new rules take a new number,
// which may be proposed only once every replica knows it.
const Format = 2

// maxCommand bounds one command, in bytes.
const maxCommand = 16 << 20

// FormatError is the panic of a replica that meets a command of a newer
// format: its program must be replaced before it can go on.
type FormatError struct {
	Format uint32
}

// Error names both formats.
func (e *FormatError) Error() string {
	return fmt.Sprintf("command has format %d, this program applies up to %d", e.Format, Format)
}

// DecodeCommand reads a command. An error means that no replica applies it.
func DecodeCommand(entry []byte) (*cmdpb.Command, error) {
	if len(entry) > maxCommand {
		return nil, fmt.Errorf("command of %d bytes is larger than %d", len(entry), maxCommand)
	}
	command := &cmdpb.Command{}
	if err := proto.Unmarshal(entry, command); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	if command.GetFormat() == 0 {
		return nil, fmt.Errorf("command has no format")
	}
	return command, nil
}

// CheckCommand reports whether a command may be proposed: it returns an error for one
// that is malformed and a *FormatError for one that this program does not
// apply. A leader must check before it proposes.
func CheckCommand(entry []byte) error {
	command, err := DecodeCommand(entry)
	if err != nil {
		return err
	}
	if command.GetFormat() > Format {
		return &FormatError{Format: command.GetFormat()}
	}
	if command.GetBody() == nil {
		return fmt.Errorf("command has no known body")
	}
	return nil
}

// EncodeCommand writes a command in this program's format.
func EncodeCommand(command *cmdpb.Command) ([]byte, error) {
	command.Format = Format
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// DecodeResult reads the result of a command.
func DecodeResult(data []byte) (*cmdpb.Result, error) {
	result := &cmdpb.Result{}
	if err := proto.Unmarshal(data, result); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}
