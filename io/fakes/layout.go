package fakes

import (
	"fmt"
	"time"

	"hickorybend/core/intent"
)

const (
	plainInstances = 3
	loadSpacing    = 50 * time.Millisecond
	defaultListLag = 2 * time.Second
)

// LayoutOf lays out the endpoints of an operators' text: for each model so many
// hosts in so many domains of each zone, for each plain service three.
func LayoutOf(file string, src []byte, ip string, port, domainsPerZone, hostsPerDomain int) (Layout, error) {
	spec, err := intent.Parse(file, src)
	if err != nil {
		return Layout{}, err
	}
	layout := Layout{
		Address: fmt.Sprintf("%s:%d", ip, port), Speed: DefaultSpeed(), LoadSpacing: loadSpacing, HostListLag: defaultListLag,
	}
	zones := zoneNames(spec)
	for _, service := range spec.Services {
		next := port + 1 + len(layout.Hosts)
		if service.Kind == intent.KindModel {
			layout.ChecksFencing = service.ChecksFencing
			layout.Hosts = append(layout.Hosts, PlaceHosts(service.Name, zones, domainsPerZone, hostsPerDomain, ip, next)...)
			continue
		}
		layout.PlainServices = append(layout.PlainServices, service.Name)
		layout.Hosts = append(layout.Hosts, PlaceHosts(service.Name, instanceZones(zones), 1, 1, ip, next)...)
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

func instanceZones(zones []string) []string {
	return zones[:min(len(zones), plainInstances)]
}
