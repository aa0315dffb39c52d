package intent

import "hickorybend/core/jsonc"

// Parse reads and checks an operators' text; the error is a jsonc.Faults with
// every fault of the text.
func Parse(file string, src []byte) (*Text, error) {
	text := &Text{}
	doc := jsonc.Decode(file, src, text)
	if doc.Err() != nil {
		return nil, doc.Err()
	}
	check(text, doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return text, nil
}

// ServiceNamed finds a service by its name.
func (text *Text) ServiceNamed(name string) (Service, bool) {
	for _, service := range text.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
