package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// FieldError is a bad value in an object that a user wrote.
type FieldError struct {
	Path    string // as in listen.callers or intent.models[2].replicas
	Value   any
	Allowed string // what would be right
}

// Error names path, value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %v is not allowed; allowed: %s", e.Path, e.Value, e.Allowed)
}

// badField makes a FieldError.
func badField(path string, value any, allowed string) error {
	return &FieldError{Path: path, Value: value, Allowed: allowed}
}

// DecodeStrict decodes one JSON value into out. Unknown fields, wrong types and anything after the value
// are errors that name the field and what is allowed.
func DecodeStrict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return describe(err, data)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("line %d: text after the JSON value; allowed: one value", line(data, dec.InputOffset()))
	}
	return nil
}

func describe(err error, data []byte) error {
	var typ *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &typ):
		path := typ.Field
		if path == "" {
			path = "(top level)"
		}
		return badField(path, typ.Value, "a value of type "+typ.Type.String())
	case errors.As(err, &syntax):
		return fmt.Errorf("line %d: %w", line(data, syntax.Offset), err)
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return badField(name, "unknown field", "only the documented fields")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return fmt.Errorf("line %d: the JSON value ends early", line(data, int64(len(data))))
	default:
		return err
	}
}

// line is the number of the line that holds offset, from 1.
func line(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}
