package keys_test

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/keys"
)

func issue(t *testing.T, dir string, role keys.Role, name string) keys.Files {
	files, err := keys.Issue(keys.IssueConfig{Dir: dir, Process: keys.Identity{Role: role, Name: name}, Hosts: []string{"127.0.0.1"}})
	assert.NilError(t, err)
	return files
}

func open(t *testing.T, files keys.Files, clk keys.Clock) *keys.Credentials {
	credentials, err := keys.Open(keys.Config{Files: files, Clock: clk})
	assert.NilError(t, err)
	return credentials
}

// handshake returns the client's identity as seen by the server and the error of
// each side. The client also reads once, since its handshake may succeed before
// the server has verified it.
func handshake(t *testing.T, server, client *tls.Config) (peer keys.Identity, serverErr, clientErr error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			serverErr = err
			return
		}
		defer conn.Close()
		s := conn.(*tls.Conn)
		if serverErr = s.Handshake(); serverErr == nil {
			peer, serverErr = keys.PeerIdentity(s.ConnectionState())
		}
	}()
	dialer := &tls.Dialer{Config: client, NetDialer: &net.Dialer{Timeout: 5 * time.Second}}
	conn, clientErr := dialer.Dial("tcp", listener.Addr().String())
	if clientErr == nil {
		defer conn.Close()
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			clientErr = err
		}
	}
	<-done
	return peer, serverErr, clientErr
}

func TestMutualTLSVerifiesBothPeers(t *testing.T) {
	dir := t.TempDir()
	clk := clock.System{}
	router := open(t, issue(t, dir, keys.RoleRouter, "r1"), clk)
	sidecar := open(t, issue(t, dir, keys.RoleSidecar, "s1"), clk)
	untrusted := open(t, issue(t, t.TempDir(), keys.RoleRouter, "r1"), clk)

	peer, serverErr, clientErr := handshake(t, sidecar.MutualServerConfig(keys.RoleRouter), router.MutualClientConfig(keys.RoleSidecar))
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)
	assert.Equal(t, peer, keys.Identity{Role: keys.RoleRouter, Name: "r1"})

	var peerErr *keys.PeerError
	unverified := untrusted.MutualClientConfig(keys.RoleSidecar)
	unverified.VerifyConnection = nil
	_, serverErr, _ = handshake(t, sidecar.MutualServerConfig(keys.RoleRouter), unverified)
	assert.Assert(t, errors.As(serverErr, &peerErr), "%v", serverErr)
	_, serverErr, _ = handshake(t, sidecar.MutualServerConfig(keys.RoleControl), router.MutualClientConfig(keys.RoleSidecar))
	assert.Assert(t, errors.As(serverErr, &peerErr), "%v", serverErr)
	_, _, clientErr = handshake(t, untrusted.MutualServerConfig(keys.RoleRouter), router.MutualClientConfig(keys.RoleRouter))
	assert.Assert(t, errors.As(clientErr, &peerErr), "%v", clientErr)
	_, serverErr, _ = handshake(t, sidecar.MutualServerConfig(keys.RoleRouter), &tls.Config{InsecureSkipVerify: true})
	assert.Assert(t, serverErr != nil)
}

// serial returns the serial number of the certificate that a server presents.
func serial(t *testing.T, credentials *keys.Credentials) string {
	cert, err := credentials.ServerConfig().GetCertificate(nil)
	assert.NilError(t, err)
	return cert.Leaf.SerialNumber.String()
}

func TestReloadKeepsOldFilesOnError(t *testing.T) {
	dir := t.TempDir()
	clk := clock.NewFake(clock.System{}.Now())
	files := issue(t, dir, keys.RoleRouter, "r1")
	credentials := open(t, files, clk)
	first := serial(t, credentials)

	later := clk.Now().Add(time.Hour)
	assert.NilError(t, os.WriteFile(files.Cert, []byte("half"), 0o600))
	clk.Advance(keys.CheckInterval)
	assert.Equal(t, serial(t, credentials), first)
	assert.Assert(t, credentials.Reload() != nil)

	issue(t, dir, keys.RoleRouter, "r1")
	assert.NilError(t, os.Chtimes(files.Cert, later, later))
	assert.Equal(t, serial(t, credentials), first)
	clk.Advance(keys.CheckInterval)
	assert.Assert(t, serial(t, credentials) != first)
}

func TestTokensLookupAndReload(t *testing.T) {
	name := filepath.Join(t.TempDir(), "tokens")
	write := func(file keys.TokenFile) {
		text, err := json.Marshal(file)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(name, text, 0o600))
	}
	operator, monitor := keys.NewToken(), keys.NewToken()
	write(keys.TokenFile{Tokens: []keys.Grant{
		{Name: "o", Access: keys.AccessOperator, Hash: keys.HashToken(operator)},
		{Name: "m", Access: keys.AccessMonitor, Hash: keys.HashToken(monitor)},
	}})
	clk := clock.NewFake(time.Unix(0, 0))
	tokens, err := keys.OpenTokens(keys.TokensConfig{File: name, Clock: clk})
	assert.NilError(t, err)
	got, found := tokens.Lookup(operator)
	assert.Assert(t, found && got.Access.CanWrite())
	got, found = tokens.Lookup(monitor)
	assert.Assert(t, found && !got.Access.CanWrite())
	_, found = tokens.Lookup("")
	assert.Assert(t, !found)

	write(keys.TokenFile{})
	clk.Advance(keys.CheckInterval)
	_, found = tokens.Lookup(operator)
	assert.Assert(t, !found)
	for _, text := range []string{"{", `{"Tokens":[],"Tokens":[]}`} {
		assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
		_, err = keys.OpenTokens(keys.TokensConfig{File: name, Clock: clk})
		assert.Assert(t, err != nil)
	}
	// A name in other capitals grants nothing.
	text := strings.Replace(string(grantFile(t, operator)), "Tokens", "tokens", 1)
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	tokens, err = keys.OpenTokens(keys.TokensConfig{File: name, Clock: clk})
	assert.NilError(t, err)
	_, found = tokens.Lookup(operator)
	assert.Assert(t, !found)
}

// grantFile returns the content of a file that grants a token an operator's access.
func grantFile(t *testing.T, token string) []byte {
	text, err := json.Marshal(keys.TokenFile{Tokens: []keys.Grant{{Name: "o", Access: keys.AccessOperator, Hash: keys.HashToken(token)}}})
	assert.NilError(t, err)
	return text
}
