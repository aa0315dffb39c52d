package jsonc

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Encode encodes a struct so that Decode returns the same struct again: fields in
// their order, durations as strings, fields with the zero value left out.
func Encode(source any) []byte {
	var out bytes.Buffer
	encode(&out, reflect.Indirect(reflect.ValueOf(source)))
	return out.Bytes()
}

// Indent is Encode with line breaks and indentation, for people to read.
func Indent(source any) []byte {
	var out bytes.Buffer
	if err := json.Indent(&out, Encode(source), "", "  "); err != nil {
		panic(errors.Wrap(err, "jsonc: Encode returned invalid JSON"))
	}
	out.WriteByte('\n')
	return out.Bytes()
}

func encode(out *bytes.Buffer, value reflect.Value) {
	switch {
	case value.Type() == durationType:
		out.WriteString(strconv.Quote(time.Duration(value.Int()).String()))
	case value.Kind() == reflect.Struct:
		encodeStruct(out, value)
	case value.Kind() == reflect.Slice:
		encodeSlice(out, value)
	default:
		encodeScalar(out, value)
	}
}

func encodeStruct(out *bytes.Buffer, value reflect.Value) {
	out.WriteByte('{')
	first := true
	for i := range value.NumField() {
		field := value.Field(i)
		if field.IsZero() || field.Kind() == reflect.Slice && field.Len() == 0 {
			continue
		}
		if !first {
			out.WriteByte(',')
		}
		first = false
		out.WriteString(strconv.Quote(keyOf(value.Type().Field(i))))
		out.WriteByte(':')
		encode(out, reflect.Indirect(field))
	}
	out.WriteByte('}')
}

func encodeSlice(out *bytes.Buffer, value reflect.Value) {
	out.WriteByte('[')
	for i := range value.Len() {
		if i > 0 {
			out.WriteByte(',')
		}
		encode(out, value.Index(i))
	}
	out.WriteByte(']')
}

func encodeScalar(out *bytes.Buffer, value reflect.Value) {
	body, err := json.Marshal(value.Interface())
	if err != nil {
		panic(errors.Wrap(err, "jsonc: encoding a value"))
	}
	out.Write(body)
}
