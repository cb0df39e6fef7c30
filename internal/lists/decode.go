package lists

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// Place finds the line of a key in a TOML file for use in faults.
type Place struct {
	kind fault.Kind
	file string
	data []byte
}

// NewPlace returns the place of faults of one kind in one file.
func NewPlace(kind fault.Kind, file string, data []byte) Place {
	return Place{kind: kind, file: file, data: data}
}

// Fault returns a fault at a dotted key.
func (p Place) Fault(key, problem, remedy string) error {
	return fault.New(p.kind, fmt.Sprintf("%s:%d: %s", p.file, p.line(key), key), problem, remedy)
}

// line returns the line of the key's table or assignment, or of the nearest
// parent that has one; 1 if none has.
func (p Place) line(key string) int {
	for key != "" {
		if n := findLine(p.data, key); n > 0 {
			return n
		}
		parent := strings.LastIndexByte(key, '.')
		if parent < 0 {
			break
		}
		key = key[:parent]
	}
	return 1
}

// findLine scans TOML text for a table header or an assignment.
func findLine(data []byte, key string) int {
	table := ""
	n := 0
	for line := range bytes.Lines(data) {
		n++
		text := strings.TrimSpace(string(line))
		if strings.HasPrefix(text, "[") {
			table = strings.Trim(text, "[] ")
			if table == key {
				return n
			}
			continue
		}
		name, _, found := strings.Cut(text, "=")
		if !found {
			continue
		}
		full := strings.TrimSpace(name)
		if table != "" {
			full = table + "." + full
		}
		if full == key {
			return n
		}
	}
	return 0
}

func checkSize(p Place, data []byte) error {
	if len(data) <= MaxBytes {
		return nil
	}
	return fault.New(fault.List, p.file, fmt.Sprintf("is %d bytes long", len(data)), fmt.Sprintf("keep lists to %d bytes", MaxBytes))
}

// decodeTOML decodes strictly: unknown keys are faults.
func decodeTOML(p Place, data []byte, into any) error {
	if err := checkSize(p, data); err != nil {
		return err
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	return TOMLFault(fault.List, p.file, err)
}

// TOMLFault turns a decoder's error into a fault with file, line and key.
func TOMLFault(kind fault.Kind, file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		key := strings.Join(first.Key(), ".")
		return fault.New(kind, fmt.Sprintf("%s:%d: %s", file, row, key), "is an unknown key", "remove it or correct its spelling")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		return fault.New(kind, fmt.Sprintf("%s:%d: %s", file, row, key), decode.Error(), "correct the value's type or the TOML syntax")
	}
	return fault.Wrap(err, kind, file, "cannot be decoded", "correct the TOML syntax")
}

// decodeJSON decodes strictly: unknown keys and trailing data are faults.
func decodeJSON(p Place, data []byte, into any) error {
	if err := checkSize(p, data); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		line := 1 + bytes.Count(data[:decoder.InputOffset()], []byte("\n"))
		return fault.Wrap(err, fault.List, fmt.Sprintf("%s:%d", p.file, line), "cannot be decoded", "publish valid JSON with known keys only")
	}
	if decoder.More() {
		return fault.New(fault.List, p.file, "has data after the list", "publish one JSON object")
	}
	return nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
