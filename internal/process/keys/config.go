package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// Role is what a process is in the fleet.
type Role string

// Roles of processes.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
	RoleControl Role = "control"
)

// Identity is who a certificate says that a process is. It stands in the
// certificate as a URI name of the form cactusline://ROLE/NAME.
type Identity struct {
	Role Role
	Name string
}

const identityScheme = "cactusline"

// URI returns the identity as it stands in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Role), Path: "/" + i.Name}
}

// PeerError says why the process at the far side of a connection is refused.
type PeerError struct {
	// Peer is who it says it is, if it says so.
	Peer   Identity
	Reason string
	Err    error
}

// Error returns the peer, the reason and the cause.
func (e *PeerError) Error() string {
	text := fmt.Sprintf("peer %s/%s: %s", e.Peer.Role, e.Peer.Name, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// Peer returns the identity of the process at the far side, out of its
// certificate. Its error is a *PeerError.
func Peer(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, &PeerError{Reason: "no certificate"}
	}
	for _, u := range state.PeerCertificates[0].URIs {
		name := strings.TrimPrefix(u.Path, "/")
		if u.Scheme == identityScheme && u.Host != "" && name != "" {
			return Identity{Role: Role(u.Host), Name: name}, nil
		}
	}
	return Identity{}, &PeerError{Reason: "the certificate names no process"}
}

// Server returns the configuration for connections of callers and operators,
// who show no certificate.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.current().cert, nil
		},
	}
}

// MutualServer returns the configuration for connections that come from
// processes of the given roles. Both sides are verified. Files.CA must be set.
func (p *Pair) MutualServer(roles ...Role) *tls.Config {
	cfg := p.Server()
	cfg.MinVersion = tls.VersionTLS13
	cfg.ClientAuth = tls.RequireAnyClientCert
	cfg.VerifyConnection = p.verifier(x509.ExtKeyUsageClientAuth, roles)
	return cfg
}

// MutualClient returns the configuration for connections to processes of the
// given roles. Processes go by their identity and not by their address, so the
// certificate needs no IP number. Files.CA must be set.
func (p *Pair) MutualClient(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified in VerifyConnection, against authorities that
		// may have been reloaded.
		InsecureSkipVerify: true,
		VerifyConnection:   p.verifier(x509.ExtKeyUsageServerAuth, roles),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.current().cert, nil
		},
	}
}

// verifier checks the chain and the role of a peer, on resumed connections
// too.
func (p *Pair) verifier(usage x509.ExtKeyUsage, roles []Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		roots := p.current().roots
		if roots == nil {
			return errors.New("no authorities to verify a peer with")
		}
		peer, err := Peer(state)
		if err != nil {
			return err
		}
		between := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			between.AddCert(cert)
		}
		_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: between, CurrentTime: p.cfg.Clock.Now(),
			KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return &PeerError{Peer: peer, Reason: "certificate not trusted", Err: err}
		}
		if !slices.Contains(roles, peer.Role) {
			return &PeerError{Peer: peer, Reason: "role not allowed here"}
		}
		return nil
	}
}
