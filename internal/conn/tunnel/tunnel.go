// Package tunnel carries connections to targets over datagrams, by QUIC. A lost
// packet holds up one stream for about a round trip, where a TCP connection
// that sends little stalls for its whole retransmission timeout.
package tunnel

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// protocol is negotiated, so that no other QUIC endpoint is taken for one of
	// these.
	protocol = "cactusline-tunnel"
	// idleTimeout ends a session whose peer is silent; it is what the pool of TCP
	// connections allows a dead peer.
	idleTimeout = 2 * time.Second
	// keepAlive leaves a silent peer two chances within the idle timeout.
	keepAlive = 700 * time.Millisecond
	// maxStreams is how many connections one gate may have to one target.
	maxStreams = 1024
	// streamWindow and sessionWindow bound what is received but not yet read.
	streamWindow  = 64 << 10
	sessionWindow = 512 << 10
)

// Errors that either end gives as the reason of a reset.
const (
	codeLeft   quic.StreamErrorCode      = 1 // the gate has dropped the connection
	codeBroken quic.StreamErrorCode      = 2 // the target has reset the connection
	codeIdle   quic.ApplicationErrorCode = 1
	codeStop   quic.ApplicationErrorCode = 2
)

func config() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: sessionWindow,
		MaxConnectionReceiveWindow:     sessionWindow,
		DisablePathMTUDiscovery:        true,
	}
}

// plainConn hides what a socket offers beside sending and receiving.
type plainConn struct{ net.PacketConn }

// selfSigned returns a certificate that nobody vouches for, for links that are
// not authenticated.
func selfSigned() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("make certificate: %w", err)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}},
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, //nolint:gosec // as unauthenticated as the TCP connections that it stands for
	}, nil
}
