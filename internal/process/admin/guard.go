package admin

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Role says what a token allows.
type Role int

// The roles, each allowing what the one before does.
const (
	// RoleMonitor reads.
	RoleMonitor Role = iota + 1
	// RoleOperator reads and changes.
	RoleOperator
)

// Actor is who asks, as the audit log names them.
type Actor struct {
	Name string
	Role Role
}

// Authenticator tells whose a bearer token is.
type Authenticator interface {
	Authenticate(token string) (Actor, bool)
}

// anyone is the actor where no tokens are configured.
var anyone = Actor{Name: "operator", Role: RoleOperator}

// handler serves one request of a known actor. An error that it returns is
// written as the answer.
type handler func(w http.ResponseWriter, req *http.Request, actor Actor) *Error

// guard lets in those whose role is at least the needed one.
func (a *API) guard(needed Role, serve handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		actor, failed := a.actor(req)
		if failed == nil && actor.Role < needed {
			failed = problem(http.StatusForbidden, CodeForbidden, actor.Name+" may read only")
		}
		if failed == nil {
			failed = serve(w, req, actor)
		}
		if failed != nil {
			writeError(w, failed)
		}
		count(failed)
	})
}

// count adds an answer to the metrics of the process.
func count(failed *Error) {
	code := Code("OK")
	if failed != nil {
		code = failed.Code
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_admin_answers_total{code=%q}", code)).Inc()
}

func (a *API) actor(req *http.Request) (Actor, *Error) {
	if a.cfg.Authenticator == nil {
		return anyone, nil
	}
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if ok {
		if actor, known := a.cfg.Authenticator.Authenticate(token); known {
			return actor, nil
		}
	}
	return Actor{}, problem(http.StatusUnauthorized, CodeUnauthorized, "a known bearer token is needed")
}
