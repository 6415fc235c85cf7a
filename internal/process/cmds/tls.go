package cmds

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"github.com/go-kit/log"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/flags"
	"cactusline.dev/cactusline/internal/process/keys"
)

// LinkKeys are the flags for mutual TLS on the links between processes. If none is
// set, the links are unencrypted.
type LinkKeys struct {
	LinkCert flags.File `help:"Certificate of this process for links between processes; goes with --link-key and --link-ca."`
	LinkKey  flags.File `help:"Key of that certificate."`
	LinkCA   flags.File `name:"link-ca" help:"Authorities that sign the processes' certificates."`
}

// linkTLS holds the TLS configurations of a process's links. Nil fields mean
// unencrypted links.
type linkTLS struct {
	client *tls.Config
	server *tls.Config
}

// open loads the credentials if they are set.
func (k *LinkKeys) open(logger log.Logger) (linkTLS, error) {
	set := 0
	for _, file := range []flags.File{k.LinkCert, k.LinkKey, k.LinkCA} {
		if file != "" {
			set++
		}
	}
	if set == 0 {
		return linkTLS{}, nil
	}
	if set < 3 {
		return linkTLS{}, usageError(errors.New("--link-cert, --link-key and --link-ca must be set together"))
	}
	credentials, err := keys.Open(keys.Config{
		Files:  keys.Files{Cert: string(k.LinkCert), Key: string(k.LinkKey), CA: string(k.LinkCA)},
		Logger: logger,
		Clock:  clock.System{},
	})
	if err != nil {
		return linkTLS{}, usageError(fmt.Errorf("--link-cert, --link-key, --link-ca: %w", err))
	}
	return linkTLS{
		client: credentials.MutualClientConfig(keys.RoleSidecar, keys.RoleControl),
		server: credentials.MutualServerConfig(keys.RoleRouter, keys.RoleSidecar, keys.RoleControl),
	}, nil
}

// wrapListener returns a listener for calls from other processes, with TLS if
// configured.
func (l linkTLS) wrapListener(listener net.Listener) net.Listener {
	if l.server == nil {
		return listener
	}
	return tls.NewListener(listener, l.server)
}

// CallerKeys are the flags for TLS on the callers' connections.
type CallerKeys struct {
	CallerCert flags.File `help:"Certificate for callers; goes with --caller-key."`
	CallerKey  flags.File `help:"Key of that certificate."`
}

// open returns the TLS configuration for callers, nil if none is set.
func (k *CallerKeys) open(logger log.Logger) (*tls.Config, error) {
	if k.CallerCert == "" && k.CallerKey == "" {
		return nil, nil
	}
	if k.CallerCert == "" || k.CallerKey == "" {
		return nil, usageError(errors.New("--caller-cert and --caller-key must be set together"))
	}
	credentials, err := keys.Open(keys.Config{
		Files:  keys.Files{Cert: string(k.CallerCert), Key: string(k.CallerKey)},
		Logger: logger,
		Clock:  clock.System{},
	})
	if err != nil {
		return nil, usageError(fmt.Errorf("--caller-cert, --caller-key: %w", err))
	}
	return credentials.ServerConfig(), nil
}
