// Package blobs stores texts in the platform's object store under the hash of their
// content, by the S3 protocol.
package blobs
