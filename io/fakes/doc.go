// Package fakes holds small stand-ins for the systems around a node: the
// platform's table service, object store and host list, model engines and plain
// services. They speak the published protocols and inject faults on request;
// they are not a performance simulator. A plain instance is an endpoint of a plain
// service.
package fakes
