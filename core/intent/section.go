package intent

import (
	"bytes"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"hickorybend/core/jsonc"
)

// ErrSection means that a stored section can't be decoded.
var ErrSection = errors.New("intent: a stored section cannot be decoded")

// Section is a part of the spec with a version of its own: one service, one team,
// or the rest.
type Section struct {
	Name string
	Body []byte
}

const (
	deploymentSection = "deployment"
	servicePrefix     = "service/"
	teamPrefix        = "team/"
)

// Sections splits the spec so that changes to different services and teams never
// conflict.
func (spec *Spec) Sections() []Section {
	deployment := Spec{Deployment: spec.Deployment, Zones: spec.Zones, Objective: spec.Objective}
	sections := []Section{{Name: deploymentSection, Body: jsonc.Encode(deployment)}}
	for _, service := range spec.Services {
		sections = append(sections, Section{Name: servicePrefix + service.Name, Body: jsonc.Encode(service)})
	}
	for _, team := range spec.Teams {
		sections = append(sections, Section{Name: teamPrefix + team.Name, Body: jsonc.Encode(team)})
	}
	return sections
}

// Join builds the spec from its sections; a section with an empty body is left out.
func Join(sections []Section) (*Spec, error) {
	spec := &Spec{}
	for _, section := range sections {
		if len(section.Body) == 0 {
			continue
		}
		if err := spec.add(section); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "section %s", section.Name), ErrSection)
		}
	}
	return spec, nil
}

// WithSection returns a copy of the spec in which one section is replaced, added
// or, with an empty body, removed. The other sections are not decoded again, so
// that the decoding cost of a change does not grow with the number of teams.
func (spec *Spec) WithSection(section Section) (*Spec, error) {
	next := *spec
	next.Services = slices.Clone(spec.Services)
	next.Teams = slices.Clone(spec.Teams)
	if len(section.Body) == 0 {
		next.remove(section.Name)
		return &next, nil
	}
	if err := next.add(section); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "section %s", section.Name), ErrSection)
	}
	return &next, nil
}

func (spec *Spec) remove(name string) {
	spec.Services = slices.DeleteFunc(spec.Services, func(service Service) bool { return servicePrefix+service.Name == name })
	spec.Teams = slices.DeleteFunc(spec.Teams, func(team Team) bool { return teamPrefix+team.Name == name })
}

func (spec *Spec) add(section Section) error {
	switch {
	case section.Name == deploymentSection:
		var deployment Spec
		err := jsonc.Decode(section.Name, section.Body, &deployment).Err()
		spec.Deployment, spec.Zones, spec.Objective = deployment.Deployment, deployment.Zones, deployment.Objective
		return err
	case strings.HasPrefix(section.Name, servicePrefix):
		return spec.addService(section)
	case strings.HasPrefix(section.Name, teamPrefix):
		return spec.addTeam(section)
	default:
		return errors.Newf("unknown kind of section: %q", section.Name)
	}
}

func (spec *Spec) addService(section Section) error {
	var service Service
	if err := jsonc.Decode(section.Name, section.Body, &service).Err(); err != nil {
		return err
	}
	index := slices.IndexFunc(spec.Services, func(known Service) bool { return known.Name == service.Name })
	if index < 0 {
		spec.Services = append(spec.Services, service)
		return nil
	}
	spec.Services[index] = service
	return nil
}

func (spec *Spec) addTeam(section Section) error {
	var team Team
	if err := jsonc.Decode(section.Name, section.Body, &team).Err(); err != nil {
		return err
	}
	index := slices.IndexFunc(spec.Teams, func(known Team) bool { return known.Name == team.Name })
	if index < 0 {
		spec.Teams = append(spec.Teams, team)
		return nil
	}
	spec.Teams[index] = team
	return nil
}

// Change is a section whose body differs between two specs. An empty body means
// that the section is absent from that spec.
type Change struct {
	Name   string
	Before []byte
	After  []byte
}

// Diff returns the sections that differ between two specs.
func Diff(before, after []Section) []Change {
	var changes []Change
	previous := map[string][]byte{}
	for _, section := range before {
		previous[section.Name] = section.Body
	}
	present := map[string]bool{}
	for _, section := range after {
		present[section.Name] = true
		if !bytes.Equal(previous[section.Name], section.Body) {
			changes = append(changes, Change{Name: section.Name, Before: previous[section.Name], After: section.Body})
		}
	}
	for _, section := range before {
		if !present[section.Name] && len(section.Body) > 0 {
			changes = append(changes, Change{Name: section.Name, Before: section.Body})
		}
	}
	return changes
}
