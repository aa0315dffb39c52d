package intent

import "hickorybend/core/jsonc"

// Parse decodes and validates the text of a spec. The error is a jsonc.Faults with
// every fault of the text.
func Parse(file string, src []byte) (*Spec, error) {
	spec := &Spec{}
	doc := jsonc.Decode(file, src, spec)
	if doc.Err() != nil {
		return nil, doc.Err()
	}
	check(spec, doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return spec, nil
}

// ServiceNamed returns the service with a name.
func (spec *Spec) ServiceNamed(name string) (Service, bool) {
	for _, service := range spec.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}
