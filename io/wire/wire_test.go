package wire_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/io/wire"
)

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	file := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

func (a *authority) files(name string) wire.CertFiles {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	return wire.CertFiles{
		Cert: a.write(name+".pem", "CERTIFICATE", der), Key: a.write(name+".key", "EC PRIVATE KEY", private),
		CA: filepath.Join(a.dir, "ca.pem"),
	}
}

type ping struct {
	Text string
}

const procedure = "/test/ping"

func serve(t *testing.T, secure *tls.Config) *httptest.Server {
	t.Helper()
	handler := connect.NewUnaryHandler(procedure, func(ctx context.Context, request *connect.Request[ping]) (*connect.Response[ping], error) {
		return connect.NewResponse(&ping{Text: request.Msg.Text + " from " + wire.Caller(ctx)}), nil
	}, wire.HandlerOptions([]wire.Key{{Name: "peer", SHA256: wire.HashKey("key")}})...)
	server := httptest.NewUnstartedServer(handler)
	if secure == nil {
		server.Start()
	} else {
		server.Listener = tls.NewListener(server.Listener, secure)
		server.Start()
	}
	t.Cleanup(server.Close)
	return server
}

func call(t *testing.T, client *http.Client, base, key string) (string, error) {
	t.Helper()
	caller := connect.NewClient[ping, ping](client, base+procedure, wire.ClientOptions(key)...)
	reply, err := caller.CallUnary(t.Context(), connect.NewRequest(&ping{Text: "hello"}))
	if err != nil {
		return "", err
	}
	return reply.Msg.Text, nil
}

func TestStrangerWithoutTheKeyGetsNothing(t *testing.T) {
	server := serve(t, nil)
	text, err := call(t, http.DefaultClient, server.URL, "key")
	assert.NilError(t, err)
	assert.Equal(t, text, "hello from peer")
	_, err = call(t, http.DefaultClient, server.URL, "other")
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
}

func TestBothSidesProveThemselves(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	serving, err := wire.TLS(own.files("server"))
	assert.NilError(t, err)
	server := serve(t, serving)
	address := "https://" + server.Listener.Addr().String()
	trusted, err := wire.TLS(own.files("client"))
	assert.NilError(t, err)
	text, err := call(t, wire.HTTPClient(trusted), address, "key")
	assert.NilError(t, err)
	assert.Equal(t, text, "hello from peer")

	stranger, err := wire.TLS(other.files("stranger"))
	assert.NilError(t, err)
	stranger.RootCAs = trusted.RootCAs
	_, err = call(t, wire.HTTPClient(stranger), address, "key")
	assert.Assert(t, err != nil, "a certificate of another authority is taken")
	_, err = call(t, wire.HTTPClient(&tls.Config{RootCAs: trusted.RootCAs}), address, "key")
	assert.Assert(t, err != nil, "no certificate at all is taken")
}

func TestUnreadableCertificateIsSaid(t *testing.T) {
	_, err := wire.TLS(wire.CertFiles{Cert: "none", Key: "none", CA: "none"})
	assert.Assert(t, errors.Is(err, wire.ErrCertificate), "%v", err)
}
