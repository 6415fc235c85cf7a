package cmds

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/process/keys"
)

// checkSettings reports all inconsistent settings.
func (c *ControlCommand) checkSettings() error {
	var faults []error
	isSelf := func(peer flags.Endpoint) bool { return peer.Name == string(c.VM) }
	if len(c.Peer) > 0 && !slices.ContainsFunc(c.Peer, isSelf) {
		faults = append(faults, fmt.Errorf("--peer does not list this VM, %s", c.VM))
	}
	if (c.AdminCert == "") != (c.AdminKey == "") {
		faults = append(faults, errors.New("--admin-cert and --admin-key must be set together"))
	}
	address, err := netip.ParseAddrPort(string(c.Admin))
	if err == nil && !address.Addr().IsLoopback() && c.Tokens == "" {
		faults = append(faults, fmt.Errorf("--admin %s is not a loopback address; set --tokens", c.Admin))
	}
	return errors.Join(faults...)
}

// adminServer returns the HTTP server of the administration API.
func (c *ControlCommand) adminServer(logger log.Logger, bounds *guard.Budget, control *ctrl.Control, storage *controlStorage) (*httpd.Server, error) {
	cfg := admin.Config{
		Control:     control,
		Group:       storage.raftGroup,
		State:       storage.state,
		AuditFolder: storage.auditDir,
		NewChangeID: newChangeID,
	}
	server := httpd.Config{Logger: logger, BodyLimit: admin.BodyLimit, Guard: bounds}
	if c.Tokens != "" {
		tokens, err := keys.OpenTokens(keys.TokensConfig{File: string(c.Tokens), Logger: logger, Clock: clock.System{}})
		if err != nil {
			return nil, usageError(fmt.Errorf("--tokens: %w", err))
		}
		cfg.Authenticator = tokenActors{tokens: tokens}
	}
	if c.AdminCert != "" {
		credentials, err := keys.Open(keys.Config{
			Files:  keys.Files{Cert: string(c.AdminCert), Key: string(c.AdminKey)},
			Logger: logger,
			Clock:  clock.System{},
		})
		if err != nil {
			return nil, usageError(fmt.Errorf("--admin-cert, --admin-key: %w", err))
		}
		server.TLS = credentials.ServerConfig()
	}
	server.Handler = admin.New(cfg).Handler()
	return httpd.New(server), nil
}

// tokenActors implements admin.Authenticator with a token file.
type tokenActors struct {
	tokens *keys.Tokens
}

// Authenticate implements admin.Authenticator.
func (t tokenActors) Authenticate(token string) (admin.Actor, bool) {
	grant, ok := t.tokens.Lookup(token)
	actor := admin.Actor{Name: grant.Name, Role: admin.RoleMonitor}
	if grant.Access.CanWrite() {
		actor.Role = admin.RoleOperator
	}
	return actor, ok
}

// TokenCommand generates a bearer token and its entry for the token file.
type TokenCommand struct {
	Name   string `arg:"" help:"Whose token it is, as the audit log names them."`
	Access string `help:"What it allows." enum:"Operator,Monitor" default:"Operator"`
}

// Run executes the command.
func (c *TokenCommand) Run(env *commandEnv) error {
	token := keys.NewToken()
	grant := keys.Grant{Name: c.Name, Access: keys.Access(c.Access), Hash: keys.HashToken(token)}
	_, _ = fmt.Fprintf(env.stderr, "entry for the token file:\n")
	if err := printJSON(&commandEnv{stdout: env.stderr}, keys.TokenFile{Tokens: []keys.Grant{grant}}); err != nil {
		return err
	}
	_, err := fmt.Fprintln(env.stdout, token)
	return err
}

// KeysCommand creates the certificate and the key of one process.
type KeysCommand struct {
	Role string   `arg:"" help:"Role of the process: router, sidecar or control."`
	Name string   `arg:"" help:"Name of the process."`
	Dir  string   `help:"Folder of the authority, which is made if there is none." required:""`
	Host []string `help:"IP numbers and host names by which callers and operators reach it."`
}

// Run executes the command.
func (c *KeysCommand) Run(env *commandEnv) error {
	files, err := keys.Issue(keys.IssueConfig{
		Dir:     c.Dir,
		Process: keys.Identity{Role: keys.Role(c.Role), Name: c.Name},
		Hosts:   c.Host,
		Clock:   clock.System{},
	})
	if err != nil {
		return err
	}
	return printJSON(env, files)
}
