package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// FieldError reports an invalid value in an object that a user wrote.
type FieldError struct {
	Path    string // for example listen.callers or intent.models[2].replicas
	Value   any
	Allowed string // description of the allowed values
}

// Error returns a message that names the path, the value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %v is not allowed; allowed: %s", e.Path, e.Value, e.Allowed)
}

// newFieldError returns a *FieldError.
func newFieldError(path string, value any, allowed string) error {
	return &FieldError{Path: path, Value: value, Allowed: allowed}
}

// DecodeStrict decodes one JSON value into out. An unknown field or a wrong type is an error that names the
// field and what is allowed; invalid JSON or text after the value is an error that names the line.
func DecodeStrict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return describeDecodeError(err, data)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("line %d: text after the JSON value; allowed: one value", lineAt(data, dec.InputOffset()))
	}
	return nil
}

// describeDecodeError converts an error of the JSON decoder into one that names the field or the line of data.
func describeDecodeError(err error, data []byte) error {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		path := typeErr.Field
		if path == "" {
			path = "(top level)"
		}
		return newFieldError(path, typeErr.Value, "a value of type "+typeErr.Type.String())
	case errors.As(err, &syntaxErr):
		return fmt.Errorf("line %d: %w", lineAt(data, syntaxErr.Offset), err)
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return newFieldError(name, "unknown field", "only the documented fields")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return fmt.Errorf("line %d: the JSON value ends early", lineAt(data, int64(len(data))))
	default:
		return err
	}
}

// lineAt returns the number of the line that contains offset; the first line is 1.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}
