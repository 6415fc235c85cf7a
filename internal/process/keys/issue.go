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

// Names of the files of the authority in its folder.
const (
	AuthorityCert = "ca.pem"
	AuthorityKey  = "ca.key"
)

// Life spans of issued certificates.
const (
	DefaultLifetime   = 90 * 24 * time.Hour
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// backdate allows for clocks that are behind.
	backdate = time.Hour
)

const serialBits = 127

// IssueConfig says which pairs to make.
type IssueConfig struct {
	// Dir is the folder of the authority, made if it is missing. The pair of
	// a process is written to ROLE-NAME.pem and ROLE-NAME.key.
	Dir string
	// Process is whom the pair is for.
	Process Identity
	// Hosts are the IP numbers and host names that callers use.
	Hosts []string
	// Lifetime is how long the pair is valid, DefaultLifetime if zero.
	Lifetime time.Duration
	// Clock is the system's if nil.
	Clock Clock
}

// Issue makes a pair for one process, signed by the authority in the folder,
// which it makes if there is none. It returns where the files are.
func Issue(cfg IssueConfig) (Files, error) {
	if cfg.Process.Role == "" || cfg.Process.Name == "" || filepath.Base(cfg.Process.Name) != cfg.Process.Name {
		return Files{}, errors.New("issue keys: the process needs a role and a plain name")
	}
	if cfg.Lifetime == 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	now := cfg.Clock.Now()
	authority, err := openAuthority(cfg.Dir, now)
	if err != nil {
		return Files{}, fmt.Errorf("issue keys: %w", err)
	}
	base := filepath.Join(cfg.Dir, string(cfg.Process.Role)+"-"+cfg.Process.Name)
	files := Files{Cert: base + ".pem", Key: base + ".key", CA: filepath.Join(cfg.Dir, AuthorityCert)}
	if err := sign(template(cfg, now), authority, files); err != nil {
		return Files{}, fmt.Errorf("issue keys: %w", err)
	}
	return files, nil
}

func template(cfg IssueConfig, now time.Time) *x509.Certificate {
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

// authority signs certificates.
type authority struct {
	cert *x509.Certificate
	key  any
}

// openAuthority reads the authority in dir and makes it if there is none.
func openAuthority(dir string, now time.Time) (authority, error) {
	files := Files{Cert: filepath.Join(dir, AuthorityCert), Key: filepath.Join(dir, AuthorityKey)}
	if _, err := os.Stat(files.Cert); errors.Is(err, fs.ErrNotExist) {
		if err := makeAuthority(dir, files, now); err != nil {
			return authority{}, err
		}
	}
	pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return authority{}, fmt.Errorf("load the authority: %w", err)
	}
	return authority{cert: pair.Leaf, key: pair.PrivateKey}, nil
}

func makeAuthority(dir string, files Files, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("make the folder: %w", err)
	}
	return sign(&x509.Certificate{
		Subject:               pkix.Name{CommonName: "cactusline"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(authorityLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
	}, authority{}, files)
}

// sign makes a key and a certificate after the template and writes both. An
// empty authority signs the certificate with its own key.
func sign(cert *x509.Certificate, by authority, files Files) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make a key: %w", err)
	}
	if by.cert == nil {
		by = authority{cert: cert, key: key}
	}
	cert.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return fmt.Errorf("draw a serial number: %w", err)
	}
	signed, err := x509.CreateCertificate(rand.Reader, cert, by.cert, &key.PublicKey, by.key)
	if err != nil {
		return fmt.Errorf("sign a certificate: %w", err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode a key: %w", err)
	}
	if err := writePEM(files.Key, "PRIVATE KEY", private); err != nil {
		return err
	}
	return writePEM(files.Cert, "CERTIFICATE", signed)
}

// writePEM replaces a file, so that a reader never sees half of it.
func writePEM(name, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	fresh := name + ".new"
	if err := os.WriteFile(fresh, text, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.Rename(fresh, name); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return nil
}
