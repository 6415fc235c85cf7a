package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"cactusline.dev/cactusline/internal/process/clock"
)

// Names of the files of the certificate authority in its directory.
const (
	AuthorityCert = "ca.pem"
	AuthorityKey  = "ca.key"
)

// Lifetimes of issued certificates.
const (
	DefaultLifetime   = 90 * 24 * time.Hour
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// backdate is how far NotBefore lies in the past, for peers whose clocks
	// are behind.
	backdate = time.Hour
)

const serialBits = 127

// IssueConfig configures Issue.
type IssueConfig struct {
	// Dir is the directory of the authority, created if missing. The
	// certificate and key are written to ROLE-NAME.pem and ROLE-NAME.key.
	Dir string
	// Process is the identity that the certificate holds.
	Process Identity
	// Hosts are the IP addresses and host names by which clients reach the
	// process.
	Hosts []string
	// Lifetime is how long the certificate is valid, DefaultLifetime if zero.
	Lifetime time.Duration
	// Clock is the system clock if nil.
	Clock Clock
}

// Issue creates a key and a certificate for one process, signed by the authority
// in cfg.Dir, and returns the paths of the files. It creates the authority if
// there is none.
func Issue(cfg IssueConfig) (Files, error) {
	if cfg.Process.Role == "" || cfg.Process.Name == "" || filepath.Base(cfg.Process.Name) != cfg.Process.Name {
		return Files{}, errors.New("issue keys: the process needs a role and a name without path separators")
	}
	if cfg.Lifetime == 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	now := cfg.Clock.Now()
	ca, err := openAuthority(cfg.Dir, now)
	if err != nil {
		return Files{}, fmt.Errorf("issue keys: %w", err)
	}
	base := filepath.Join(cfg.Dir, string(cfg.Process.Role)+"-"+cfg.Process.Name)
	files := Files{Cert: base + ".pem", Key: base + ".key", CA: filepath.Join(cfg.Dir, AuthorityCert)}
	if err := issueCert(certTemplate(cfg, now), ca, files); err != nil {
		return Files{}, fmt.Errorf("issue keys: %w", err)
	}
	return files, nil
}

func certTemplate(cfg IssueConfig, now time.Time) *x509.Certificate {
	cert := &x509.Certificate{
		Subject:     pkix.Name{CommonName: cfg.Process.Name},
		NotBefore:   now.Add(-backdate),
		NotAfter:    now.Add(cfg.Lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:        []*url.URL{cfg.Process.URI()},
	}
	for _, host := range cfg.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			cert.IPAddresses = append(cert.IPAddresses, ip)
			continue
		}
		cert.DNSNames = append(cert.DNSNames, host)
	}
	return cert
}

// certAuthority is a certificate authority. The zero value makes issueCert self-sign.
type certAuthority struct {
	cert *x509.Certificate
	key  any
}

// openAuthority loads the authority in dir, creating it if there is none.
func openAuthority(dir string, now time.Time) (certAuthority, error) {
	files := Files{Cert: filepath.Join(dir, AuthorityCert), Key: filepath.Join(dir, AuthorityKey)}
	if _, err := os.Stat(files.Cert); errors.Is(err, fs.ErrNotExist) {
		if err := createAuthority(dir, files, now); err != nil {
			return certAuthority{}, err
		}
	}
	pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return certAuthority{}, fmt.Errorf("load certificate authority: %w", err)
	}
	return certAuthority{cert: pair.Leaf, key: pair.PrivateKey}, nil
}

func createAuthority(dir string, files Files, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create authority directory: %w", err)
	}
	return issueCert(&x509.Certificate{
		Subject:               pkix.Name{CommonName: "cactusline"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(authorityLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
	}, certAuthority{}, files)
}

// issueCert generates a key, issues a certificate for it from the template
// and writes both to files. If ca is the zero value, the certificate is
// self-signed.
func issueCert(template *x509.Certificate, ca certAuthority, files Files) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	if ca.cert == nil {
		ca = certAuthority{cert: template, key: key}
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return fmt.Errorf("generate serial number: %w", err)
	}
	encodedCert, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return fmt.Errorf("create certificate: %w", err)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(files.Key, "PRIVATE KEY", encodedKey); err != nil {
		return err
	}
	return writePEM(files.Cert, "CERTIFICATE", encodedCert)
}

// writePEM replaces a file atomically, so that readers never see part of it.
func writePEM(name, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	tmp := name + ".new"
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.Rename(tmp, name); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return nil
}
