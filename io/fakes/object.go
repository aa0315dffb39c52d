package fakes

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// ObjectStore stands in for the platform's object store. It serves PUT and GET of
// the S3 protocol with path-style addresses.
type ObjectStore struct {
	mutex  sync.Mutex
	bodies map[string][]byte
	outage atomic.Bool
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{bodies: map[string][]byte{}}
}

// SetOutage starts or ends an outage, in which every call gets status 503.
func (objectstore *ObjectStore) SetOutage(outage bool) { objectstore.outage.Store(outage) }

// ServeHTTP serves one call of the protocol.
func (objectstore *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if objectstore.outage.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	objectstore.mutex.Lock()
	defer objectstore.mutex.Unlock()
	switch r.Method {
	case http.MethodPut:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		objectstore.bodies[r.URL.Path] = body
	case http.MethodGet:
		body, found := objectstore.bodies[r.URL.Path]
		if !found {
			w.Header().Set("Content-Type", "application/xml")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, "<Error><Code>NoSuchKey</Code></Error>")
			return
		}
		_, _ = w.Write(body)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
