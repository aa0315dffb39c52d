package intent

import (
	"bytes"
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

func (text *Text) add(section Section) error {
	switch {
	case section.Name == sectionBase:
		var base Text
		err := jsonc.Decode(section.Name, section.Body, &base).Err()
		text.Deployment, text.Zones, text.Objective = base.Deployment, base.Zones, base.Objective
		return err
	case strings.HasPrefix(section.Name, sectionService):
		var service Service
		err := jsonc.Decode(section.Name, section.Body, &service).Err()
		text.Services = append(text.Services, service)
		return err
	case strings.HasPrefix(section.Name, sectionTeam):
		var team Team
		err := jsonc.Decode(section.Name, section.Body, &team).Err()
		text.Teams = append(text.Teams, team)
		return err
	default:
		return errors.Newf("no such kind of section: %q", section.Name)
	}
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
