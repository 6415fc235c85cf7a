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

// usage marks an error as the operator's.
func usage(err error) error { return &codedError{code: ExitUsage, err: err} }

// unsent reports whether a call failed before anything of it was sent.
func unsent(err error) bool {
	var op *net.OpError
	var untrusted *tls.CertificateVerificationError
	return (errors.As(err, &op) && op.Op == "dial") || errors.As(err, &untrusted)
}

// readError reads an error answer.
func readError(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return &lostError{err: err}
	}
	var body admin.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return &admin.Error{Code: admin.CodeUnavailable, Message: fmt.Sprintf("status %s: %s", resp.Status, data)}
	}
	return body.Error
}

// exitCodes are the exit codes of the API's errors.
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

// explained words an error answer with all that it tells.
func explained(e *admin.Error, change ident.ChangeID) error {
	var text strings.Builder
	text.WriteString(e.Message)
	for _, fault := range e.Faults {
		text.WriteString("\n  " + fault.String())
	}
	for _, conflict := range e.Conflicts {
		winner := "there is no such record"
		if len(conflict.Winner) > 0 && string(conflict.Winner) != "null" {
			winner = "now stands: " + string(conflict.Winner)
		}
		fmt.Fprintf(&text, "\n  %s/%s: version %d was named; %s", conflict.Kind, conflict.Name, conflict.Wanted, winner)
	}
	if change != "" {
		fmt.Fprintf(&text, "\n  change %s", change)
	}
	code, ok := exitCodes[e.Code]
	if !ok {
		code = ExitFailed
	}
	return &codedError{code: code, err: fmt.Errorf("%s: %s", e.Code, text.String())}
}
