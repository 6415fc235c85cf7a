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

// Role is the kind of a process in the fleet.
type Role string

// The roles of processes.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
	RoleControl Role = "control"
)

// Identity is the identity of a process. A certificate holds it as a URI subject
// alternative name of the form cactusline://ROLE/NAME.
type Identity struct {
	Role Role
	Name string
}

const identityScheme = "cactusline"

// URI returns the identity as the URI that a certificate holds.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Role), Path: "/" + i.Name}
}

// PeerError reports why the peer of a connection is rejected.
type PeerError struct {
	// Peer is the identity that the peer claims; zero if it claims none.
	Peer   Identity
	Reason string
	Err    error
}

// Error implements error.
func (e *PeerError) Error() string {
	text := fmt.Sprintf("peer %s/%s: %s", e.Peer.Role, e.Peer.Name, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// PeerIdentity returns the identity in the certificate of a connection's peer. Its error
// is a *PeerError.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, &PeerError{Reason: "no certificate"}
	}
	for _, u := range state.PeerCertificates[0].URIs {
		name := strings.TrimPrefix(u.Path, "/")
		if u.Scheme == identityScheme && u.Host != "" && name != "" {
			return Identity{Role: Role(u.Host), Name: name}, nil
		}
	}
	return Identity{}, &PeerError{Reason: "the certificate holds no process identity"}
}

// ServerConfig returns the server configuration for callers and operators, who present
// no certificate.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current().cert, nil
		},
	}
}

// MutualServerConfig returns the server configuration for mutual TLS with processes of
// the given roles. Files.CA must be set.
func (c *Credentials) MutualServerConfig(roles ...Role) *tls.Config {
	cfg := c.ServerConfig()
	cfg.MinVersion = tls.VersionTLS13
	cfg.ClientAuth = tls.RequireAnyClientCert
	cfg.VerifyConnection = c.peerVerifier(x509.ExtKeyUsageClientAuth, roles)
	return cfg
}

// MutualClientConfig returns the client configuration for mutual TLS with processes of
// the given roles. A process is verified by its identity rather than its address,
// so its certificate needs no IP address. Files.CA must be set.
func (c *Credentials) MutualClientConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain instead, against the current
		// authorities, which may have been reloaded.
		InsecureSkipVerify: true,
		VerifyConnection:   c.peerVerifier(x509.ExtKeyUsageServerAuth, roles),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current().cert, nil
		},
	}
}

// peerVerifier returns a VerifyConnection function that checks the peer's
// certificate chain and role. It runs for resumed connections as well.
func (c *Credentials) peerVerifier(usage x509.ExtKeyUsage, roles []Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		roots := c.current().roots
		if roots == nil {
			return errors.New("no certificate authorities are configured to verify peers")
		}
		peer, err := PeerIdentity(state)
		if err != nil {
			return err
		}
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates, CurrentTime: c.cfg.Clock.Now(),
			KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return &PeerError{Peer: peer, Reason: "certificate is not trusted", Err: err}
		}
		if !slices.Contains(roles, peer.Role) {
			return &PeerError{Peer: peer, Reason: "role is not allowed for this connection"}
		}
		return nil
	}
}
