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

// Name returns the codec's name in content types.
func (Codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (Codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message.
func (Codec) Unmarshal(data []byte, message any) error { return cbor.Unmarshal(data, message) }

// MaxMessageBytes bounds a message, a request as well as a response.
const MaxMessageBytes = 8 << 20

// keyHolderContextKey is the context key of the key holder's name.
type keyHolderContextKey struct{}

// KeyHolder returns the name of the holder of an authenticated call's key.
func KeyHolder(ctx context.Context) string {
	name, _ := ctx.Value(keyHolderContextKey{}).(string)
	return name
}

// Key is the SHA-256 hash of a bearer key, in hexadecimal digits, and the name of
// its holder.
type Key struct {
	Name   string
	SHA256 string
}

// HashKey hashes a bearer key into the form that Key stores.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// HandlerOptions returns the options of a handler that accepts only calls with one of
// the keys.
func HandlerOptions(keys []Key) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(newAuthInterceptor(keys)),
	}
}

// ClientOptions returns the options of a client that sends a key with each call.
func ClientOptions(key string) []connect.ClientOption {
	addKey := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, request)
		}
	})
	return []connect.ClientOption{
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(addKey),
	}
}

// newAuthInterceptor returns an interceptor that rejects calls without one of the
// keys and makes the name of the holder available to KeyHolder.
func newAuthInterceptor(keys []Key) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			hash := HashKey(strings.TrimPrefix(request.Header().Get("Authorization"), "Bearer "))
			for _, key := range keys {
				if subtle.ConstantTimeCompare([]byte(hash), []byte(key.SHA256)) == 1 {
					return next(context.WithValue(ctx, keyHolderContextKey{}, key.Name), request)
				}
			}
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("wire: missing or unknown key"))
		}
	})
}

// CertFiles names the files of a certificate, its private key, and the certificate
// authority that both sides trust.
type CertFiles struct {
	Cert string
	Key  string
	CA   string
}

// ErrCertificate means that a certificate cannot be read.
var ErrCertificate = errors.New("wire: a certificate cannot be read")

// reloadInterval is how long a certificate is used before its files are read again.
const reloadInterval = 10 * time.Second

// certReloader reads a certificate again while the process runs, so that a renewed
// certificate is used without a restart.
type certReloader struct {
	files    CertFiles
	mutex    sync.Mutex
	current  *tls.Certificate
	reloadAt time.Time
}

func (certreloader *certReloader) certificate() (*tls.Certificate, error) {
	certreloader.mutex.Lock()
	defer certreloader.mutex.Unlock()
	now := time.Now()
	if certreloader.current != nil && now.Before(certreloader.reloadAt) {
		return certreloader.current, nil
	}
	pair, err := tls.LoadX509KeyPair(certreloader.files.Cert, certreloader.files.Key)
	if err != nil && certreloader.current == nil {
		return nil, errors.Mark(errors.Wrap(err, "wire: loading a certificate"), ErrCertificate)
	}
	if err == nil {
		certreloader.current = &pair
	}
	certreloader.reloadAt = now.Add(reloadInterval)
	return certreloader.current, nil
}

// TLS returns the configuration for both ends of mutual TLS. The certificate is read
// again while the process runs; if that fails, the last certificate stays in use. The
// certificate authority is read only once, by this call.
func TLS(certfiles CertFiles) (*tls.Config, error) {
	certreloader := &certReloader{files: certfiles}
	if _, err := certreloader.certificate(); err != nil {
		return nil, err
	}
	caPEM, err := os.ReadFile(certfiles.CA)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wire: reading the certificate authority"), ErrCertificate)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.Wrapf(ErrCertificate, "no usable certificate in %s", certfiles.CA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  pool,
		RootCAs:    pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return certreloader.certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return certreloader.certificate()
		},
	}, nil
}

// HTTPClient returns a client for calls to nodes; tlsconfig is nil without TLS.
func HTTPClient(tlsconfig *tls.Config) *http.Client {
	transport := &http.Transport{
		TLSClientConfig: tlsconfig, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
		ForceAttemptHTTP2: tlsconfig != nil,
	}
	return &http.Client{Transport: transport}
}

// Scheme returns "https://", or "http://" without TLS, when tlsconfig is nil.
func Scheme(tlsconfig *tls.Config) string {
	if tlsconfig != nil {
		return "https://"
	}
	return "http://"
}
