package fakes

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// Objects stands in for the platform's object store, by the path-style calls
// PUT and GET of the S3 protocol.
type Objects struct {
	mutex  sync.Mutex
	bodies map[string][]byte
	outage atomic.Bool
}

// NewObjects makes an empty object store.
func NewObjects() *Objects {
	return &Objects{bodies: map[string][]byte{}}
}

// SetOutage makes the store answer with failures, or heals it.
func (objects *Objects) SetOutage(outage bool) { objects.outage.Store(outage) }

// ServeHTTP answers one call of the protocol.
func (objects *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if objects.outage.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	switch r.Method {
	case http.MethodPut:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		objects.bodies[r.URL.Path] = body
	case http.MethodGet:
		body, found := objects.bodies[r.URL.Path]
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
