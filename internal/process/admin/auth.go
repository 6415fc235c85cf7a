package admin

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Role is a level of access.
type Role int

// The roles, in ascending order of access.
const (
	// RoleMonitor may read.
	RoleMonitor Role = iota + 1
	// RoleOperator may read and make changes.
	RoleOperator
)

// Actor is the authenticated caller. The audit log records its name.
type Actor struct {
	Name string
	Role Role
}

// Authenticator resolves bearer tokens.
type Authenticator interface {
	// Authenticate returns the actor that a token belongs to, and whether the
	// token is valid.
	Authenticate(token string) (Actor, bool)
}

// defaultActor is the actor of every request if no Authenticator is configured.
var defaultActor = Actor{Name: "operator", Role: RoleOperator}

// handler serves a request of an authenticated actor. A returned error is
// written as the answer.
type handler func(w http.ResponseWriter, req *http.Request, actor Actor) *Error

// authorize returns a handler that requires a role and counts the answers.
func (a *API) authorize(required Role, serve handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		actor, apiErr := a.authenticate(req)
		if apiErr == nil && actor.Role < required {
			apiErr = newError(http.StatusForbidden, CodeForbidden, actor.Name+" has read access only")
		}
		if apiErr == nil {
			apiErr = serve(w, req, actor)
		}
		if apiErr != nil {
			writeError(w, apiErr)
		}
		countAnswer(apiErr)
	})
}

// countAnswer counts an answer in the metrics, by its error code.
func countAnswer(apiErr *Error) {
	code := Code("OK")
	if apiErr != nil {
		code = apiErr.Code
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_admin_answers_total{code=%q}", code)).Inc()
}

// authenticate returns the actor of a request's bearer token.
func (a *API) authenticate(req *http.Request) (Actor, *Error) {
	if a.cfg.Authenticator == nil {
		return defaultActor, nil
	}
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if ok {
		if actor, known := a.cfg.Authenticator.Authenticate(token); known {
			return actor, nil
		}
	}
	return Actor{}, newError(http.StatusUnauthorized, CodeUnauthorized, "a valid bearer token is required")
}
