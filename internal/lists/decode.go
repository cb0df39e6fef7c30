package lists

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/fault"
)

// Place finds the line of a key in a TOML file for use in faults.
type Place struct {
	kind  fault.Kind
	file  string
	lines func() map[string]int
}

// NewPlace returns the place of faults of one kind in one file.
func NewPlace(kind fault.Kind, file string, data []byte) Place {
	lines := sync.OnceValue(func() map[string]int { return indexLines(data) })
	return Place{kind: kind, file: file, lines: lines}
}

// Fault returns a fault at a dotted key.
func (p Place) Fault(key, problem, remedy string) error {
	return fault.New(p.kind, fmt.Sprintf("%s:%d: %s", p.file, p.line(key), key), problem, remedy)
}

// line returns the line of the key's table or assignment, or of the nearest
// parent that has one; 1 if none has.
func (p Place) line(key string) int {
	for key != "" {
		if n := p.lines()[key]; n > 0 {
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

func checkSize(p Place, data []byte) error {
	if len(data) <= MaxBytes {
		return nil
	}
	return fault.New(fault.List, p.file, fmt.Sprintf("is %d bytes long", len(data)), fmt.Sprintf("keep lists to %d bytes", MaxBytes))
}

// decodeTOML decodes strictly: unknown keys are faults.
func decodeTOML(p Place, data []byte, into any) []error {
	if err := checkSize(p, data); err != nil {
		return []error{err}
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return TOMLFaults(fault.List, p.file, err)
	}
	return nil
}

// TOMLFaults turns a decoder's error into faults with file, line and key.
func TOMLFaults(kind fault.Kind, file string, err error) []error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var faults []error
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			key := strings.Join(strict.Errors[i].Key(), ".")
			faults = append(faults, fault.New(kind, fmt.Sprintf("%s:%d: %s", file, row, key), "is an unknown key", "remove it or correct its spelling"))
		}
		return faults
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		place := fmt.Sprintf("%s:%d", file, row)
		if key := strings.Join(decode.Key(), "."); key != "" {
			place += ": " + key
		}
		return []error{fault.New(kind, place, decodeProblem(decode.Error()), "correct the value's type or the TOML syntax")}
	}
	return []error{fault.Wrap(err, kind, file, "cannot be decoded", "correct the TOML syntax")}
}

// decodeProblem leaves names of this program's types out of a decoder's message.
func decodeProblem(message string) string {
	message = strings.TrimPrefix(message, "toml: ")
	problem, target, found := strings.Cut(message, " into struct field ")
	if !found {
		return message
	}
	_, wanted, _ := strings.Cut(target, " of type ")
	return problem + " as " + wanted
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
