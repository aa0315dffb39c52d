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

// Doc is a decoded text: the offset of each value by its path, and the faults
// found.
type Doc struct {
	file    string
	src     []byte
	offsets map[string]int
	faults  Faults
}

var durationType = reflect.TypeFor[time.Duration]()

// Decode decodes src into the struct that target points to. Unknown and duplicate
// keys are faults. A later validation of the values adds its faults to the Doc by
// path, such as "services[0].name".
func Decode(file string, src []byte, target any) *Doc {
	doc := &Doc{file: file, src: src, offsets: map[string]int{"": 0}}
	root, err := hujson.Parse(src)
	if err != nil {
		doc.addSyntaxFault(err)
		return doc
	}
	doc.decodeValue(root, "", reflect.ValueOf(target).Elem())
	return doc
}

// AddFault adds a fault found by a validation at the value with the given path.
// If the text has no such value, the fault gets the position of the nearest value
// that encloses it.
func (doc *Doc) AddFault(path, expected, found string) {
	offset, known := doc.offsets[path]
	for parent := path; !known && parent != ""; offset, known = doc.offsets[parent] {
		parent = parent[:max(strings.LastIndexAny(parent, ".["), 0)]
		if parent == "" {
			break
		}
	}
	doc.addFaultAt(offset, path, expected, found)
}

// Err returns all faults in the order of the text, or nil if there are none.
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

func (doc *Doc) addSyntaxFault(err error) {
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

func (doc *Doc) addFaultAt(offset int, path, expected, found string) {
	if path == "" {
		path = "text"
	}
	doc.faults = append(doc.faults, Fault{
		File: doc.file, At: doc.position(offset), Path: path, Expected: expected, Found: found,
	})
}

func (doc *Doc) position(offset int) Position {
	before := doc.src[:min(offset, len(doc.src))]
	line := strings.Count(string(before), "\n")
	return Position{Line: line + 1, Column: len(before) - strings.LastIndex(string(before), "\n")}
}

func (doc *Doc) decodeValue(value hujson.Value, path string, target reflect.Value) {
	doc.offsets[path] = value.StartOffset
	if literal, isLiteral := value.Value.(hujson.Literal); isLiteral && literal.Kind() == 'n' && isOptional(target.Kind()) {
		return
	}
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch typed := value.Value.(type) {
	case *hujson.Object:
		doc.decodeObject(typed, value.StartOffset, path, target)
	case *hujson.Array:
		doc.decodeArray(typed, value.StartOffset, path, target)
	case hujson.Literal:
		doc.decodeLiteral(typed, value.StartOffset, path, target)
	}
}

// isOptional reports whether null stands for no value.
func isOptional(kind reflect.Kind) bool { return kind == reflect.Pointer || kind == reflect.Map }

// decodeTable decodes an object with any keys. Of its values, null stands for none.
func (doc *Doc) decodeTable(object *hujson.Object, path string, target reflect.Value) {
	target.Set(reflect.MakeMap(target.Type()))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key, memberPath := reflect.ValueOf(name), joinPath(path, name)
		if target.MapIndex(key).IsValid() {
			doc.addFaultAt(member.Name.StartOffset, memberPath, "each key once", "a duplicate")
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		if literal, isLiteral := member.Value.Value.(hujson.Literal); !isLiteral || literal.Kind() != 'n' {
			doc.decodeValue(member.Value, memberPath, element)
		}
		target.SetMapIndex(key, element)
	}
}

func (doc *Doc) decodeObject(object *hujson.Object, offset int, path string, target reflect.Value) {
	if target.Kind() == reflect.Map {
		doc.decodeTable(object, path, target)
		return
	}
	if target.Kind() != reflect.Struct {
		doc.addFaultAt(offset, path, describeType(target.Type()), "an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		if seen[name] {
			doc.addFaultAt(member.Name.StartOffset, memberPath, "each key once", "a duplicate")
			continue
		}
		seen[name] = true
		field, known := fieldByKey(target, name)
		if !known {
			doc.addFaultAt(member.Name.StartOffset, memberPath, "one of "+fieldKeys(target.Type()), strconv.Quote(name))
			continue
		}
		doc.decodeValue(member.Value, memberPath, field)
	}
}

func (doc *Doc) decodeArray(array *hujson.Array, offset int, path string, target reflect.Value) {
	if target.Kind() != reflect.Slice {
		doc.addFaultAt(offset, path, describeType(target.Type()), "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		doc.decodeValue(element, fmt.Sprintf("%s[%d]", path, i), target.Index(i))
	}
}

func (doc *Doc) decodeLiteral(literal hujson.Literal, offset int, path string, target reflect.Value) {
	if !setLiteral(literal, target) {
		doc.addFaultAt(offset, path, describeType(target.Type()), string(literal))
	}
}

// setLiteral stores a literal in target and reports whether the literal has the
// target's type and range.
func setLiteral(literal hujson.Literal, target reflect.Value) bool {
	kind := literal.Kind()
	switch {
	case target.Type() == durationType:
		return kind == '"' && setDuration(literal.String(), target)
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

func setDuration(text string, target reflect.Value) bool {
	duration, err := time.ParseDuration(text)
	target.SetInt(int64(duration))
	return err == nil
}

func describeType(typ reflect.Type) string {
	switch {
	case typ == durationType:
		return `a duration such as "2s"`
	case typ.Kind() == reflect.Struct:
		return "an object with " + fieldKeys(typ)
	case typ.Kind() == reflect.Slice:
		return "an array"
	case typ.Kind() == reflect.Map:
		return "an object"
	case typ.Kind() == reflect.String:
		return "a string"
	case typ.Kind() == reflect.Bool:
		return "true or false"
	case typ.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

func fieldByKey(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if keyOf(target.Type().Field(i)) == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldKeys(typ reflect.Type) string {
	keys := make([]string, 0, typ.NumField())
	for i := range typ.NumField() {
		keys = append(keys, keyOf(typ.Field(i)))
	}
	return strings.Join(keys, ", ")
}
