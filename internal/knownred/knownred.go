// Package knownred reads KNOWN-RED.txt, the list of tests and measures that fail
// for a known fault. CI prints and passes over these and no others.
//
// An entry is a run of lines; the first is "test: NAME", the others say the
// command and seed, what was seen and the issue. A subtest is named with its
// parent, as go test prints it.
package knownred

import (
	"bufio"
	"io/fs"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// File is the list's name at the root of the repository.
const File = "KNOWN-RED.txt"

// Names returns the names listed in a file; none if there is no file.
func Names(file string) (map[string]bool, error) {
	names := make(map[string]bool)
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return names, nil
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		if name, ok := strings.CutPrefix(scanner.Text(), "test: "); ok {
			names[strings.TrimSpace(name)] = true
		}
	}
	return names, errors.WithStack(scanner.Err())
}
