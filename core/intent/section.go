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
func (text *Text) Sections() []Section {
	base := Text{Deployment: text.Deployment, Zones: text.Zones, Objective: text.Objective}
	sections := []Section{{Name: sectionBase, Body: jsonc.Encode(base)}}
	for _, service := range text.Services {
		sections = append(sections, Section{Name: sectionService + service.Name, Body: jsonc.Encode(service)})
	}
	for _, team := range text.Teams {
		sections = append(sections, Section{Name: sectionTeam + team.Name, Body: jsonc.Encode(team)})
	}
	return sections
}

// Join puts sections together again; an empty body is a section taken out.
func Join(sections []Section) (*Text, error) {
	text := &Text{}
	for _, section := range sections {
		if len(section.Body) == 0 {
			continue
		}
		if err := text.add(section); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "section %s", section.Name), ErrSection)
		}
	}
	return text, nil
}

// With gives a copy of the text in which one section is replaced, added or,
// with an empty body, taken out. The sections of other names are not read
// again, so that a change costs the same however many teams there are.
func (text *Text) With(section Section) (*Text, error) {
	next := *text
	next.Services = slices.Clone(text.Services)
	next.Teams = slices.Clone(text.Teams)
	if len(section.Body) == 0 {
		next.remove(section.Name)
		return &next, nil
	}
	if err := next.add(section); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "section %s", section.Name), ErrSection)
	}
	return &next, nil
}

func (text *Text) remove(name string) {
	text.Services = slices.DeleteFunc(text.Services, func(service Service) bool { return sectionService+service.Name == name })
	text.Teams = slices.DeleteFunc(text.Teams, func(team Team) bool { return sectionTeam+team.Name == name })
}

func (text *Text) add(section Section) error {
	switch {
	case section.Name == sectionBase:
		var base Text
		err := jsonc.Decode(section.Name, section.Body, &base).Err()
		text.Deployment, text.Zones, text.Objective = base.Deployment, base.Zones, base.Objective
		return err
	case strings.HasPrefix(section.Name, sectionService):
		return text.addService(section)
	case strings.HasPrefix(section.Name, sectionTeam):
		return text.addTeam(section)
	default:
		return errors.Newf("no such kind of section: %q", section.Name)
	}
}

func (text *Text) addService(section Section) error {
	var service Service
	if err := jsonc.Decode(section.Name, section.Body, &service).Err(); err != nil {
		return err
	}
	place := slices.IndexFunc(text.Services, func(known Service) bool { return known.Name == service.Name })
	if place < 0 {
		text.Services = append(text.Services, service)
		return nil
	}
	text.Services[place] = service
	return nil
}

func (text *Text) addTeam(section Section) error {
	var team Team
	if err := jsonc.Decode(section.Name, section.Body, &team).Err(); err != nil {
		return err
	}
	place := slices.IndexFunc(text.Teams, func(known Team) bool { return known.Name == team.Name })
	if place < 0 {
		text.Teams = append(text.Teams, team)
		return nil
	}
	text.Teams[place] = team
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
