package soak

import (
	"testing"
	"time"

	"hickorybend/platform/fakes"
)

// TestEvacuationIsChecked guards against a soak that overlooks requests to an evacuated zone, or
// reports those that the bound allows.
func TestEvacuationIsChecked(t *testing.T) {
	execute := func(harness *harness, zone string) {
		harness.checkEvacuation(fakes.Execution{RequestID: "a", Runner: "r"}, zone)
	}
	for _, test := range []struct {
		name       string
		scenario   func(harness *harness)
		invariants []string
	}{
		{"within the bound", func(harness *harness) {
			harness.zoneEvacuated(harness.clock)
			harness.advance(evacuationBound)
			execute(harness, leftZone)
		}, nil},
		{"later", func(harness *harness) {
			harness.zoneEvacuated(harness.clock)
			harness.advance(evacuationBound + time.Millisecond)
			execute(harness, leftZone)
		}, []string{InvariantEvacuation}},
		{"in another zone", func(harness *harness) {
			harness.zoneEvacuated(harness.clock)
			harness.advance(time.Minute)
			execute(harness, otherZone)
		}, nil},
		{"taken back", func(harness *harness) {
			harness.zoneEvacuated(harness.clock)
			harness.advance(time.Minute)
			harness.zoneEvacuated(time.Time{})
			execute(harness, leftZone)
		}, nil},
		{"after an outage of the store at once", func(harness *harness) {
			harness.zoneEvacuated(harness.clock)
			harness.timeline.beginFault(storeComponent, harness.clock)(harness.clock.Add(3 * time.Second))
			harness.advance(3*time.Second + evacuationBound)
			execute(harness, leftZone)
		}, nil},
		{"later after an outage", func(harness *harness) {
			harness.zoneEvacuated(harness.clock)
			harness.timeline.beginFault(storeComponent, harness.clock)(harness.clock.Add(3 * time.Second))
			harness.advance(3*time.Second + evacuationBound + time.Millisecond)
			execute(harness, leftZone)
		}, []string{InvariantEvacuation}},
		{"after a pause of the node", func(harness *harness) {
			harness.zoneEvacuated(harness.clock)
			harness.timeline.beginFault(nodeComponent(0), harness.clock)
			harness.advance(time.Minute)
			execute(harness, leftZone)
		}, []string{InvariantEvacuation}},
	} {
		t.Run(test.name, func(t *testing.T) { expectFindings(t, test.scenario, test.invariants...) })
	}
}
