// Package settings reads and checks the JSON settings of a process. The whole file is
// checked at start: every invalid field is reported with its value and the values that are
// allowed, so that an operator can correct all of them at once.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// FieldError says what is wrong with one field of a settings file.
type FieldError struct {
	// Field is the path of the field, such as "seeds[1]"; empty for the whole file.
	Field string
	// Value is the field's value as JSON, or "unknown" for a field that does not exist.
	Value string
	// Allowed describes the values that the field takes.
	Allowed string
}

// String returns the field, its value and what is allowed on one line.
func (f FieldError) String() string {
	return fmt.Sprintf("field %q: value %s: allowed: %s", f.Field, f.Value, f.Allowed)
}

// FieldErrors is an error that holds all field errors of one file.
type FieldErrors []FieldError

// Error returns the field errors, one per line.
func (f FieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, fieldErr := range f {
		lines = append(lines, fieldErr.String())
	}
	return strings.Join(lines, "\n")
}

// Add appends the error of a field. value is shown as JSON; allowed describes the values
// that the field takes.
func (f *FieldErrors) Add(field string, value any, allowed string) {
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte(fmt.Sprint(value))
	}
	*f = append(*f, FieldError{Field: field, Value: string(text), Allowed: allowed})
}

// Err returns f, or nil if f is empty.
func (f FieldErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Duration is a time.Duration that is written with its unit in JSON, such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// exponentDurationUnits are the units that may follow a number with an exponent, which
// time.ParseDuration does not accept.
var exponentDurationUnits = []unit{
	{"ns", float64(time.Nanosecond)}, {"us", float64(time.Microsecond)}, {"µs", float64(time.Microsecond)}, {"ms", float64(time.Millisecond)},
	{"s", float64(time.Second)}, {"m", float64(time.Minute)}, {"h", float64(time.Hour)},
}

// UnmarshalJSON reads a string with a unit. It rejects a bare number, whose unit would have
// to be guessed.
func (d *Duration) UnmarshalJSON(data []byte) error {
	invalid := FieldErrors{{Value: string(data), Allowed: `a duration with its unit, such as "250ms"`}}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return invalid
	}
	if parsed, err := time.ParseDuration(text); err == nil {
		*d = Duration(parsed)
		return nil
	}
	parsed, ok := parseQuantity(text, exponentDurationUnits)
	if !ok {
		return invalid
	}
	*d = Duration(parsed)
	return nil
}

// unit is the suffix of a quantity with its value in the smallest unit.
type unit struct {
	suffix string
	value  float64
}

// parseQuantity parses a number with a unit. It returns the quantity in the smallest unit,
// rounded, and whether text is valid. The number may have a fraction and an exponent as in
// JSON, because the programs that fill in settings templates write numbers in all of these
// forms.
func parseQuantity(text string, units []unit) (int64, bool) {
	for _, u := range units {
		number, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		var n float64
		if err := json.Unmarshal([]byte(number), &n); err != nil || number == "null" {
			continue // the suffix of another unit, such as the s of ms
		}
		if n *= u.value; math.Abs(n) < math.MaxInt64 {
			return int64(math.Round(n)), true
		}
		return 0, false
	}
	return 0, false
}

// Size is a number of bytes that is written with its unit in JSON, such as "8MB" (8 million
// bytes) or "1MiB" (1,048,576 bytes).
type Size int64

var sizeUnits = []unit{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1},
}

// MarshalJSON writes the size as a string in bytes, such as "8000000B".
func (s Size) MarshalJSON() ([]byte, error) {
	return json.Marshal(fmt.Sprintf("%dB", int64(s)))
}

// UnmarshalJSON reads a string with a number that is not negative and a unit.
func (s *Size) UnmarshalJSON(data []byte) error {
	invalid := FieldErrors{{Value: string(data), Allowed: `a size with its unit, such as "8MB"`}}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return invalid
	}
	parsed, ok := parseQuantity(text, sizeUnits)
	if !ok || parsed < 0 {
		return invalid
	}
	*s = Size(parsed)
	return nil
}

// BitRate is a number of bits a second that is written with its unit in JSON, such as "14Mbit".
type BitRate int64

var bitRateUnits = []unit{{"kbit", 1e3}, {"Mbit", 1e6}, {"Gbit", 1e9}, {"bit", 1}}

// MarshalJSON writes the rate as a string in bits a second, such as "14000000bit".
func (r BitRate) MarshalJSON() ([]byte, error) {
	return json.Marshal(fmt.Sprintf("%dbit", int64(r)))
}

// UnmarshalJSON reads a string with a number that is not negative and a unit.
func (r *BitRate) UnmarshalJSON(data []byte) error {
	invalid := FieldErrors{{Value: string(data), Allowed: `bits a second with their unit, such as "14Mbit"`}}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return invalid
	}
	parsed, ok := parseQuantity(text, bitRateUnits)
	if !ok || parsed < 0 {
		return invalid
	}
	*r = BitRate(parsed)
	return nil
}

// Checker is a settings type that checks its own fields.
type Checker interface {
	// Check returns an error for each field that is not valid. It may set defaults first.
	Check() FieldErrors
}

// Load reads the settings file at path into into and checks it, with the errors of Decode.
func Load(path string, into Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.Wrapf(Decode(data, into), "settings %s", path)
}

// Decode reads the settings in data into a pointer to a struct and checks them. The error,
// if any, is a FieldErrors that names every invalid field: those that are unknown, those that
// have the wrong type, and those that Check finds.
func Decode(data []byte, into Checker) error {
	var given map[string]json.RawMessage
	if err := json.Unmarshal(data, &given); err != nil || given == nil {
		return FieldErrors{{Value: "the file", Allowed: "one JSON object"}}
	}
	fields := map[string]reflect.Value{}
	collectFields(reflect.ValueOf(into).Elem(), fields)
	var errs FieldErrors
	invalid := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(given)) {
		field, known := fields[name]
		if !known {
			errs = append(errs, FieldError{Field: name, Value: "unknown", Allowed: "only the fields of docs/SETTINGS.md"})
			continue
		}
		if fieldErr := decodeField(name, given[name], field); fieldErr != nil {
			errs, invalid[name] = append(errs, *fieldErr), true
		}
	}
	for _, fieldErr := range into.Check() {
		if !invalid[fieldErr.Field] {
			errs = append(errs, fieldErr)
		}
	}
	return errs.Err()
}

// collectFields adds the fields of a struct and of its embedded structs to fields, by their
// JSON names.
func collectFields(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous && name == "":
			collectFields(v.Field(i), fields)
		case field.IsExported() && name != "" && name != "-":
			fields[name] = v.Field(i)
		}
	}
}

// decodeField decodes one field. It returns nil if the value has the field's type.
func decodeField(name string, raw json.RawMessage, field reflect.Value) *FieldError {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(field.Addr().Interface())
	if err == nil {
		return nil
	}
	fieldErr := &FieldError{Field: name, Value: string(raw), Allowed: allowedType(field.Type())}
	var nested FieldErrors
	if errors.As(err, &nested) {
		fieldErr.Allowed = nested[0].Allowed
	}
	if inner, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		fieldErr.Field, fieldErr.Value, fieldErr.Allowed = name+"."+strings.Trim(inner, `"`), "unknown", "only the fields of docs/SETTINGS.md"
	}
	return fieldErr
}

// allowedType describes the values that a field of a type takes.
func allowedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.String:
		return "text"
	}
	return t.String()
}

// CheckAddr adds an error unless addr is an IP address and a port.
func (f *FieldErrors) CheckAddr(field, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		f.Add(field, addr, "an IP address and port, such as 127.0.0.1:9000")
	}
}

// CheckRange adds an error unless low <= value <= high.
func (f *FieldErrors) CheckRange(field string, value, low, high time.Duration) {
	if value < low || value > high {
		f.Add(field, Duration(value), fmt.Sprintf("%s to %s", low, high))
	}
}

// CheckInt adds an error unless low <= value <= high.
func (f *FieldErrors) CheckInt(field string, value, low, high int64) {
	if value < low || value > high {
		f.Add(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

// CheckNumber adds an error unless low <= value <= high.
func (f *FieldErrors) CheckNumber(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		f.Add(field, value, fmt.Sprintf("%g to %g", low, high))
	}
}

// CheckName adds an error unless name has 1 to 64 characters out of a-z, 0-9, '-', '_' and
// '.'.
func (f *FieldErrors) CheckName(field, name string) {
	if !ValidName(name) {
		f.Add(field, name, "1 to 64 characters out of a-z 0-9 - _ .")
	}
}

// ValidName reports whether CheckName accepts name.
func ValidName(name string) bool {
	if name == "" || len(name) > 64 {
		return false
	}
	for _, r := range name {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-_.", r) {
			return false
		}
	}
	return true
}
