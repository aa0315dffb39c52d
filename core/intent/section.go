package intent

import (
	"bytes"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"hickorybend/core/jsonc"
)

// ErrSection says that a stored section cannot be read as a part of a text.
var ErrSection = errors.New("intent: a stored section is not readable")

// Section is a part of a text that has a version of its own.
type Section struct {
	Name string
	Body []byte
}

const (
	sectionBase    = "deployment"
	sectionService = "service/"
	sectionTeam    = "team/"
)

// Sections divides a text so that changes to different services and teams
// never wait for each other.
func (spec *Spec) Sections() []Section {
	base := Spec{Deployment: spec.Deployment, Zones: spec.Zones, Objective: spec.Objective}
	sections := []Section{{Name: sectionBase, Body: jsonc.Encode(base)}}
	for _, service := range spec.Services {
		sections = append(sections, Section{Name: sectionService + service.Name, Body: jsonc.Encode(service)})
	}
	for _, team := range spec.Teams {
		sections = append(sections, Section{Name: sectionTeam + team.Name, Body: jsonc.Encode(team)})
	}
	return sections
}

// Join puts sections together again; an empty body is a section taken out.
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

// WithSection gives a copy of the text in which one section is replaced, added or,
// with an empty body, taken out. The sections of other names are not read
// again, so that a change costs the same however many teams there are.
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
	spec.Services = slices.DeleteFunc(spec.Services, func(service Service) bool { return sectionService+service.Name == name })
	spec.Teams = slices.DeleteFunc(spec.Teams, func(team Team) bool { return sectionTeam+team.Name == name })
}

func (spec *Spec) add(section Section) error {
	switch {
	case section.Name == sectionBase:
		var base Spec
		err := jsonc.Decode(section.Name, section.Body, &base).Err()
		spec.Deployment, spec.Zones, spec.Objective = base.Deployment, base.Zones, base.Objective
		return err
	case strings.HasPrefix(section.Name, sectionService):
		return spec.addService(section)
	case strings.HasPrefix(section.Name, sectionTeam):
		return spec.addTeam(section)
	default:
		return errors.Newf("no such kind of section: %q", section.Name)
	}
}

func (spec *Spec) addService(section Section) error {
	var service Service
	if err := jsonc.Decode(section.Name, section.Body, &service).Err(); err != nil {
		return err
	}
	place := slices.IndexFunc(spec.Services, func(known Service) bool { return known.Name == service.Name })
	if place < 0 {
		spec.Services = append(spec.Services, service)
		return nil
	}
	spec.Services[place] = service
	return nil
}

func (spec *Spec) addTeam(section Section) error {
	var team Team
	if err := jsonc.Decode(section.Name, section.Body, &team).Err(); err != nil {
		return err
	}
	place := slices.IndexFunc(spec.Teams, func(known Team) bool { return known.Name == team.Name })
	if place < 0 {
		spec.Teams = append(spec.Teams, team)
		return nil
	}
	spec.Teams[place] = team
	return nil
}

// Change is a section whose body differs between two texts; an empty side is absent.
type Change struct {
	Name   string
	Before []byte
	After  []byte
}

// Diff lists what changes from one set of sections to another, by name of section.
func Diff(before, after []Section) []Change {
	var changes []Change
	old := map[string][]byte{}
	for _, section := range before {
		old[section.Name] = section.Body
	}
	kept := map[string]bool{}
	for _, section := range after {
		kept[section.Name] = true
		if !bytes.Equal(old[section.Name], section.Body) {
			changes = append(changes, Change{Name: section.Name, Before: old[section.Name], After: section.Body})
		}
	}
	for _, section := range before {
		if !kept[section.Name] && len(section.Body) > 0 {
			changes = append(changes, Change{Name: section.Name, Before: section.Body})
		}
	}
	return changes
}
