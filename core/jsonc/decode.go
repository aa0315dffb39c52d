package jsonc

import (
	"fmt"
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Doc remembers where each value of a decoded text stood.
type Doc struct {
	file   string
	src    []byte
	starts map[string]int
	faults Faults
}

var durationType = reflect.TypeFor[time.Duration]()

// Decode fills the struct that target points at from src; unknown and doubled
// keys are faults. The Doc takes later faults of meaning by their path.
func Decode(file string, src []byte, target any) *Doc {
	doc := &Doc{file: file, src: src, starts: map[string]int{"": 0}}
	root, err := hujson.Parse(src)
	if err != nil {
		doc.syntax(err)
		return doc
	}
	doc.value(root, "", reflect.ValueOf(target).Elem())
	return doc
}

// AddFault records a fault of meaning at the value with the given path.
func (doc *Doc) AddFault(path, expected, found string) {
	start, known := doc.starts[path]
	for parent := path; !known && parent != ""; start, known = doc.starts[parent] {
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
		if parent == "" {
			break
		}
	}
	doc.fault(start, path, expected, found)
}

// Err gives all faults in the order of the text, or nil.
func (doc *Doc) Err() error {
	if len(doc.faults) == 0 {
		return nil
	}
	sort.SliceStable(doc.faults, func(i, j int) bool {
		a, b := doc.faults[i].At, doc.faults[j].At
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return doc.faults
}

func (doc *Doc) syntax(err error) {
	at := Position{Line: 1, Column: 1}
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(message, "line %d, column %d:", &at.Line, &at.Column); scanErr == nil {
		message = message[strings.Index(message, ":")+1:]
	}
	doc.faults = append(doc.faults, Fault{
		File: doc.file, At: at, Path: "text",
		Expected: "JSON with comments", Found: strings.TrimSpace(message),
	})
}

func (doc *Doc) fault(start int, path, expected, found string) {
	if path == "" {
		path = "text"
	}
	doc.faults = append(doc.faults, Fault{
		File: doc.file, At: doc.position(start), Path: path, Expected: expected, Found: found,
	})
}

func (doc *Doc) position(offset int) Position {
	before := doc.src[:min(offset, len(doc.src))]
	line := strings.Count(string(before), "\n")
	return Position{Line: line + 1, Column: len(before) - strings.LastIndex(string(before), "\n")}
}

func (doc *Doc) value(value hujson.Value, path string, target reflect.Value) {
	doc.starts[path] = value.StartOffset
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch typed := value.Value.(type) {
	case *hujson.Object:
		doc.object(typed, value.StartOffset, path, target)
	case *hujson.Array:
		doc.array(typed, value.StartOffset, path, target)
	case hujson.Literal:
		doc.literal(typed, value.StartOffset, path, target)
	}
}

func (doc *Doc) object(object *hujson.Object, start int, path string, target reflect.Value) {
	if target.Kind() != reflect.Struct {
		doc.fault(start, path, describe(target.Type()), "an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		inner := join(path, name)
		if seen[name] {
			doc.fault(member.Name.StartOffset, inner, "each key once", "it again")
			continue
		}
		seen[name] = true
		field, known := fieldNamed(target, name)
		if !known {
			doc.fault(member.Name.StartOffset, inner, "one of "+fieldNames(target.Type()), strconv.Quote(name))
			continue
		}
		doc.value(member.Value, inner, field)
	}
}

func (doc *Doc) array(array *hujson.Array, start int, path string, target reflect.Value) {
	if target.Kind() != reflect.Slice {
		doc.fault(start, path, describe(target.Type()), "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		doc.value(element, fmt.Sprintf("%s[%d]", path, i), target.Index(i))
	}
}

func (doc *Doc) literal(literal hujson.Literal, start int, path string, target reflect.Value) {
	if !fill(literal, target) {
		doc.fault(start, path, describe(target.Type()), string(literal))
	}
}

func fill(literal hujson.Literal, target reflect.Value) bool {
	kind := literal.Kind()
	switch {
	case target.Type() == durationType:
		return kind == '"' && fillDuration(literal.String(), target)
	case target.Kind() == reflect.String && kind == '"':
		target.SetString(literal.String())
		return true
	case target.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		target.SetBool(literal.Bool())
		return true
	case target.Kind() == reflect.Float64 && kind == '0':
		target.SetFloat(literal.Float())
		return !math.IsInf(literal.Float(), 0)
	case (target.Kind() == reflect.Int || target.Kind() == reflect.Int64) && kind == '0':
		number, err := strconv.ParseInt(string(literal), 10, 64)
		target.SetInt(number)
		return err == nil
	default:
		return false
	}
}

func fillDuration(text string, target reflect.Value) bool {
	duration, err := time.ParseDuration(text)
	target.SetInt(int64(duration))
	return err == nil
}

func describe(kind reflect.Type) string {
	switch {
	case kind == durationType:
		return `a duration such as "2s"`
	case kind.Kind() == reflect.Struct:
		return "an object with " + fieldNames(kind)
	case kind.Kind() == reflect.Slice:
		return "an array"
	case kind.Kind() == reflect.String:
		return "a string"
	case kind.Kind() == reflect.Bool:
		return "true or false"
	case kind.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

func fieldNamed(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if keyOf(target.Type().Field(i)) == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(kind reflect.Type) string {
	names := make([]string, 0, kind.NumField())
	for i := range kind.NumField() {
		names = append(names, keyOf(kind.Field(i)))
	}
	return strings.Join(names, ", ")
}
