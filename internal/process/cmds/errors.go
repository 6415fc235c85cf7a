package cmds

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/version/ident"
)

// usageError returns an error with the exit code ExitUsage.
func usageError(err error) error { return &exitCodeError{code: ExitUsage, err: err} }

// notSent reports whether a call failed before any of it was sent.
func notSent(err error) bool {
	var op *net.OpError
	var untrusted *tls.CertificateVerificationError
	return (errors.As(err, &op) && op.Op == "dial") || errors.As(err, &untrusted)
}

// decodeError returns the API error in the body of an error response.
func decodeError(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return &lostAnswerError{err: err}
	}
	var body admin.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return &admin.Error{Code: admin.CodeUnavailable, Message: fmt.Sprintf("status %s: %s", resp.Status, data)}
	}
	return body.Error
}

// exitCodes maps the codes of API errors to exit codes.
var exitCodes = map[admin.Code]int{
	admin.CodeInvalidRecords: ExitUsage,
	admin.CodeInvalid:        ExitUsage,
	admin.CodeTooLarge:       ExitUsage,
	admin.CodeNotFound:       ExitNotFound,
	admin.CodeConflict:       ExitConflict,
	admin.CodeChangeReused:   ExitConflict,
	admin.CodeUnauthorized:   ExitDenied,
	admin.CodeForbidden:      ExitDenied,
	admin.CodeRefused:        ExitDenied,
}

// apiError converts an API error to an error with an exit code. Its text includes the
// faults, the conflicts and the ID of the change.
func apiError(e *admin.Error, change ident.ChangeID) error {
	var text strings.Builder
	text.WriteString(e.Message)
	for _, fault := range e.Faults {
		text.WriteString("\n  " + fault.String())
	}
	for _, conflict := range e.Conflicts {
		winner := "the record does not exist"
		if len(conflict.Winner) > 0 && string(conflict.Winner) != "null" {
			winner = "current record: " + string(conflict.Winner)
		}
		fmt.Fprintf(&text, "\n  %s/%s: the change was based on version %d; %s", conflict.Kind, conflict.Name, conflict.Wanted, winner)
	}
	if change != "" {
		fmt.Fprintf(&text, "\n  change %s", change)
	}
	code, ok := exitCodes[e.Code]
	if !ok {
		code = ExitFailed
	}
	return &exitCodeError{code: code, err: fmt.Errorf("%s: %s", e.Code, text.String())}
}
