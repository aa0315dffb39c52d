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

// testCA is a certificate authority that issues certificates for a test.
type testCA struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	testca := &testCA{t: t, dir: t.TempDir()}
	testca.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &testca.key.PublicKey, testca.key)
	assert.NilError(t, err)
	testca.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	testca.write("ca.pem", "CERTIFICATE", der)
	return testca
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func (testca *testCA) write(name, kind string, der []byte) string {
	testca.t.Helper()
	file := filepath.Join(testca.dir, name)
	assert.NilError(testca.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

func (testca *testCA) issue(name string) wire.CertFiles {
	testca.t.Helper()
	key := newKey(testca.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, testca.cert, &key.PublicKey, testca.key)
	assert.NilError(testca.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(testca.t, err)
	return wire.CertFiles{
		Cert: testca.write(name+".pem", "CERTIFICATE", der), Key: testca.write(name+".key", "EC PRIVATE KEY", private),
		CA: filepath.Join(testca.dir, "ca.pem"),
	}
}

type ping struct {
	Text string
}

const procedure = "/test/ping"

func serve(t *testing.T, tlsconfig *tls.Config) *httptest.Server {
	t.Helper()
	handler := connect.NewUnaryHandler(procedure, func(ctx context.Context, request *connect.Request[ping]) (*connect.Response[ping], error) {
		return connect.NewResponse(&ping{Text: request.Msg.Text + " from " + wire.KeyHolder(ctx)}), nil
	}, wire.HandlerOptions([]wire.Key{{Name: "peer", SHA256: wire.HashKey("key")}})...)
	server := httptest.NewUnstartedServer(handler)
	if tlsconfig == nil {
		server.Start()
	} else {
		server.Listener = tls.NewListener(server.Listener, tlsconfig)
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

func TestUnknownKeyIsRejected(t *testing.T) {
	server := serve(t, nil)
	text, err := call(t, http.DefaultClient, server.URL, "key")
	assert.NilError(t, err)
	assert.Equal(t, text, "hello from peer")
	_, err = call(t, http.DefaultClient, server.URL, "other")
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
}

// TestMutualTLS checks that a server accepts a client with a certificate of its own
// authority, and rejects one with a certificate of another authority or with none.
func TestMutualTLS(t *testing.T) {
	trustedCA, otherCA := newTestCA(t), newTestCA(t)
	serverTLS, err := wire.TLS(trustedCA.issue("server"))
	assert.NilError(t, err)
	server := serve(t, serverTLS)
	address := "https://" + server.Listener.Addr().String()
	clientTLS, err := wire.TLS(trustedCA.issue("client"))
	assert.NilError(t, err)
	text, err := call(t, wire.HTTPClient(clientTLS), address, "key")
	assert.NilError(t, err)
	assert.Equal(t, text, "hello from peer")

	untrustedTLS, err := wire.TLS(otherCA.issue("stranger"))
	assert.NilError(t, err)
	untrustedTLS.RootCAs = clientTLS.RootCAs
	_, err = call(t, wire.HTTPClient(untrustedTLS), address, "key")
	assert.Assert(t, err != nil, "a certificate of another authority was accepted")
	_, err = call(t, wire.HTTPClient(&tls.Config{RootCAs: clientTLS.RootCAs}), address, "key")
	assert.Assert(t, err != nil, "a client without a certificate was accepted")
}

func TestUnreadableCertificateIsReported(t *testing.T) {
	_, err := wire.TLS(wire.CertFiles{Cert: "none", Key: "none", CA: "none"})
	assert.Assert(t, errors.Is(err, wire.ErrCertificate), "%v", err)
}
