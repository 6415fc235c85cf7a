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

// LinkKeys secure the links between the system's processes: each side shows
// its certificate and verifies the other's. Without them the links are plain.
type LinkKeys struct {
	LinkCert flags.File `help:"Certificate of this process for links between processes; goes with --link-key and --link-ca."`
	LinkKey  flags.File `help:"Key of that certificate."`
	LinkCA   flags.File `name:"link-ca" help:"Authorities that sign the processes' certificates."`
}

// linkTLS are the two sides of a process's links; nil fields mean plain links.
type linkTLS struct {
	client *tls.Config
	server *tls.Config
}

// open reads the keys, if they are set.
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
		return linkTLS{}, usage(errors.New("--link-cert, --link-key and --link-ca go together"))
	}
	pair, err := keys.Open(keys.Config{
		Files:  keys.Files{Cert: string(k.LinkCert), Key: string(k.LinkKey), CA: string(k.LinkCA)},
		Logger: logger,
		Clock:  clock.System{},
	})
	if err != nil {
		return linkTLS{}, usage(fmt.Errorf("--link-cert, --link-key, --link-ca: %w", err))
	}
	return linkTLS{
		client: pair.MutualClient(keys.RoleSidecar, keys.RoleControl),
		server: pair.MutualServer(keys.RoleRouter, keys.RoleSidecar, keys.RoleControl),
	}, nil
}

// secure returns the listener for calls of other processes.
func (l linkTLS) secure(listener net.Listener) net.Listener {
	if l.server == nil {
		return listener
	}
	return tls.NewListener(listener, l.server)
}

// CallerKeys secure the callers' connections.
type CallerKeys struct {
	CallerCert flags.File `help:"Certificate for callers; goes with --caller-key."`
	CallerKey  flags.File `help:"Key of that certificate."`
}

// open returns the callers' TLS settings, nil if no keys are set.
func (k *CallerKeys) open(logger log.Logger) (*tls.Config, error) {
	if k.CallerCert == "" && k.CallerKey == "" {
		return nil, nil
	}
	if k.CallerCert == "" || k.CallerKey == "" {
		return nil, usage(errors.New("--caller-cert and --caller-key go together"))
	}
	pair, err := keys.Open(keys.Config{
		Files:  keys.Files{Cert: string(k.CallerCert), Key: string(k.CallerKey)},
		Logger: logger,
		Clock:  clock.System{},
	})
	if err != nil {
		return nil, usage(fmt.Errorf("--caller-cert, --caller-key: %w", err))
	}
	return pair.Server(), nil
}
