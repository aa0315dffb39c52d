package wire

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Codec encodes messages as CBOR.
type Codec struct{}

// Name is the codec's name in content types.
func (Codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (Codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message.
func (Codec) Unmarshal(data []byte, message any) error { return cbor.Unmarshal(data, message) }

// MaxMessageBytes bounds a message between nodes.
const MaxMessageBytes = 8 << 20

type callerKey struct{}

// Caller gives the name of the one whose key a call carried.
func Caller(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}

// Key is a key's hash and whose it is.
type Key struct {
	Name   string
	SHA256 string
}

// HashKey gives the form in which a key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// HandlerOptions are for handlers that only the holders of the keys may call.
func HandlerOptions(keys []Key) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(gatekeeper(keys)),
	}
}

// ClientOptions are for clients that carry a key.
func ClientOptions(key string) []connect.ClientOption {
	carry := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, request)
		}
	})
	return []connect.ClientOption{
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(carry),
	}
}

func gatekeeper(keys []Key) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			given := HashKey(strings.TrimPrefix(request.Header().Get("Authorization"), "Bearer "))
			for _, key := range keys {
				if subtle.ConstantTimeCompare([]byte(given), []byte(key.SHA256)) == 1 {
					return next(context.WithValue(ctx, callerKey{}, key.Name), request)
				}
			}
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("wire: no such key"))
		}
	})
}

// CertFiles names a certificate, its key, and the authority that both sides trust.
type CertFiles struct {
	Cert string
	Key  string
	CA   string
}

// ErrCertificate says that a certificate cannot be read.
var ErrCertificate = errors.New("wire: a certificate cannot be read")

// reloadAfter is how long a read certificate is used before its file is read again.
const reloadAfter = 10 * time.Second

// loader reads the certificate again while the process runs.
type loader struct {
	files  CertFiles
	mutex  sync.Mutex
	loaded *tls.Certificate
	until  time.Time
}

func (loader *loader) certificate() (*tls.Certificate, error) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	now := time.Now()
	if loader.loaded != nil && now.Before(loader.until) {
		return loader.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(loader.files.Cert, loader.files.Key)
	if err != nil && loader.loaded == nil {
		return nil, errors.Mark(errors.Wrap(err, "wire: loading"), ErrCertificate)
	}
	if err == nil {
		loader.loaded = &pair
	}
	loader.until = now.Add(reloadAfter)
	return loader.loaded, nil
}

// TLS makes the settings for both ends of mutual TLS. Certificates are read
// again while the process runs; one that cannot be read leaves the last in use.
func TLS(certfiles CertFiles) (*tls.Config, error) {
	loader := &loader{files: certfiles}
	if _, err := loader.certificate(); err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(certfiles.CA)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wire: reading the authority"), ErrCertificate)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Wrapf(ErrCertificate, "no certificate in %s", certfiles.CA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  pool,
		RootCAs:    pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return loader.certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return loader.certificate()
		},
	}, nil
}

// HTTPClient makes a client for calls between nodes; secure may be nil.
func HTTPClient(secure *tls.Config) *http.Client {
	transport := &http.Transport{
		TLSClientConfig: secure, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
		ForceAttemptHTTP2: secure != nil,
	}
	return &http.Client{Transport: transport}
}

// Scheme gives the scheme of an address between nodes.
func Scheme(secure *tls.Config) string {
	if secure != nil {
		return "https://"
	}
	return "http://"
}
