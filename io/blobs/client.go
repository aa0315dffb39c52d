package blobs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/cockroachdb/errors"
)

// Client reads and writes the objects of one bucket.
type Client struct {
	service *s3.Client
	bucket  string
}

// Options gives the address of the object store, the bucket and the credentials.
type Options struct {
	Endpoint string
	Bucket   string
	Region   string
	KeyID    string
	Secret   string
	HTTP     *http.Client
}

// ErrOutage means that the object store did not serve a request.
var ErrOutage = errors.New("blobs: the object store does not answer")

// ErrCorrupt means that the content of an object does not match its name.
var ErrCorrupt = errors.New("blobs: an object does not match its hash")

const callTimeout = 3 * time.Second

// New returns a client.
func New(options Options) *Client {
	service := s3.New(s3.Options{
		BaseEndpoint:               aws.String(options.Endpoint),
		Region:                     options.Region,
		Credentials:                credentials.NewStaticCredentialsProvider(options.KeyID, options.Secret, ""),
		UsePathStyle:               true,
		HTTPClient:                 options.HTTP,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Client{service: service, bucket: options.Bucket}
}

// Put stores a body and returns its name, the hash of its content.
func (client *Client) Put(ctx context.Context, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := ContentHash(body)
	_, err := client.service.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(client.bucket), Key: aws.String(name), Body: bytes.NewReader(body),
	})
	if err != nil {
		return "", errors.Mark(errors.Wrap(err, "blobs: storing"), ErrOutage)
	}
	return name, nil
}

// Get reads an object and checks its content against its name.
func (client *Client) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	output, err := client.service.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(client.bucket), Key: aws.String(name),
	})
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "blobs: reading %s", name), ErrOutage)
	}
	defer func() { _ = output.Body.Close() }()
	body, err := io.ReadAll(output.Body)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "blobs: reading %s", name), ErrOutage)
	}
	if ContentHash(body) != name {
		return nil, errors.Wrapf(ErrCorrupt, "object %s", name)
	}
	return body, nil
}

// ContentHash returns the name under which a body is stored: its SHA-256 in
// hexadecimal digits.
func ContentHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
