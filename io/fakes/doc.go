// Package fakes holds small stand-ins for the systems served: the platform's
// table service, object store and host list, model engines and plain services.
// They answer by the published protocols and fail on demand; they are not a
// simulator.
package fakes
