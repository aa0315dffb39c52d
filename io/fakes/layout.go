package fakes

import (
	"fmt"
	"time"

	"hickorybend/core/intent"
)

const (
	instancesPerPlainService = 3
	loadSpacing              = 50 * time.Millisecond
	defaultHostListLag       = 2 * time.Second
)

// NewLayout returns a layout for the services of a spec. Each model service gets
// hostsPerDomain hosts in each of domainsPerZone fabric domains of every zone. Each
// plain service gets one host in each of the first three zones. The platform
// listens on port and the endpoints on the ports above it.
func NewLayout(file string, src []byte, ip string, port, domainsPerZone, hostsPerDomain int) (Layout, error) {
	spec, err := intent.Parse(file, src)
	if err != nil {
		return Layout{}, err
	}
	layout := Layout{
		Address: fmt.Sprintf("%s:%d", ip, port), Speed: DefaultSpeed(), LoadSpacing: loadSpacing, HostListLag: defaultHostListLag,
	}
	zones := zoneNames(spec)
	for _, service := range spec.Services {
		firstPort := port + 1 + len(layout.Hosts)
		if service.Kind == intent.KindModel {
			if service.ChecksFencing {
				layout.FencingServices = append(layout.FencingServices, service.Name)
			}
			layout.Hosts = append(layout.Hosts, PlaceHosts(service.Name, zones, domainsPerZone, hostsPerDomain, ip, firstPort)...)
			continue
		}
		layout.PlainServices = append(layout.PlainServices, service.Name)
		layout.Hosts = append(layout.Hosts, PlaceHosts(service.Name, instanceZones(zones), 1, 1, ip, firstPort)...)
	}
	return layout, nil
}

func zoneNames(spec *intent.Spec) []string {
	var names []string
	for _, zone := range spec.Zones {
		names = append(names, zone.Name)
	}
	return names
}

// instanceZones returns the zones in which a plain service gets a host.
func instanceZones(zones []string) []string {
	return zones[:min(len(zones), instancesPerPlainService)]
}
