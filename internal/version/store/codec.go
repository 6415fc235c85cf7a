package store

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
)

// Format is the newest command format that this program applies and writes.
// The rules of a format never change; new rules need a new format, which may
// be proposed only once every replica supports it.
const (
	Format = formatKeptCrashes

	// formatBase is the format of all commands but GateReport, RecordSoftware and
	// Evacuate, which older programs apply too. From formatEarlyTrial on, trials in a
	// GateReport may be early, and its completed requests may have been on such a trial.
	// From formatKeptCrashes on, the crashes in it are kept for the requests in flight also
	// where a quarantined part of prompts explains them.
	formatBase        = 2
	formatGateReport  = 3
	formatPartReport  = 4
	formatSoftware    = 5
	formatEvacuation  = 6
	formatEarlyTrial  = 7
	formatKeptCrashes = 8
)

// maxCommandBytes limits the size of one encoded command.
const maxCommandBytes = 16 << 20

// FormatError is the value of the panic of a replica that applies a command of
// a newer format. The replica can continue only with a newer program.
type FormatError struct {
	Format uint32
}

// Error names the format of the command and the newest supported one.
func (e *FormatError) Error() string {
	return fmt.Sprintf("command has format %d, this program applies up to %d", e.Format, Format)
}

// DecodeCommand decodes a command. Every replica rejects a command for which
// it returns an error.
func DecodeCommand(entry []byte) (*cmdpb.Command, error) {
	if len(entry) > maxCommandBytes {
		return nil, fmt.Errorf("command of %d bytes is larger than %d", len(entry), maxCommandBytes)
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

// CheckCommand checks whether a command may be proposed. It returns a
// *FormatError for a format that this program does not support, and another
// error for a malformed command. A leader must call it before it proposes a
// command.
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

// EncodeCommand sets the command's format to the oldest one that has the command, and
// encodes it.
func EncodeCommand(command *cmdpb.Command) ([]byte, error) {
	command.Format = formatBase
	if report := command.GetGateReport(); report != nil {
		command.Format = gateReportFormat(report)
	}
	if command.GetSoftware() != nil {
		command.Format = formatSoftware
	}
	if command.GetEvacuate() != nil {
		command.Format = formatEvacuation
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// gateReportFormat returns the oldest format that has a report.
func gateReportFormat(report *cmdpb.GateReport) uint32 {
	switch {
	case len(report.GetCrashes()) > 0:
		return formatKeptCrashes
	case len(report.GetTrials()) > 0 || len(report.GetCompleted()) > 0:
		return formatEarlyTrial
	case len(report.GetSurvivals()) > 0:
		return formatPartReport
	}
	return formatGateReport
}

// DecodeResult decodes the result of a command.
func DecodeResult(data []byte) (*cmdpb.Result, error) {
	result := &cmdpb.Result{}
	if err := proto.Unmarshal(data, result); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}
