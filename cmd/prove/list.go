package main

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// proofEntry is one [[proof]] table.
type proofEntry struct {
	Promise string `toml:"promise"`
	Failure string `toml:"failure"`
	Package string `toml:"package"`
	Test    string `toml:"test"`
	Seeds   string `toml:"seeds"`
	Short   bool   `toml:"short"`
	Defect  string `toml:"defect"`
	Reason  string `toml:"reason"`
}

// promises lists the brief's promises; each needs at least one proof entry.
var promises = []string{
	"measuring-budget", "own-answer", "not-run", "at-most-once",
	"drain", "graceful-stop", "changes-in-force", "within-plan",
}

// loadProofs reads all lists of a folder in the order of their names.
func loadProofs(dir string) ([]proofEntry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var all []proofEntry
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		var list struct {
			Proof []proofEntry `toml:"proof"`
		}
		decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
		if err := decoder.Decode(&list); err != nil {
			return nil, errors.Wrap(err, file)
		}
		for _, p := range list.Proof {
			if err := p.check(); err != nil {
				return nil, errors.Wrap(err, file)
			}
		}
		all = append(all, list.Proof...)
	}
	return all, nil
}

func (p proofEntry) check() error {
	switch {
	case !slices.Contains(promises, p.Promise):
		return errors.Errorf("unknown promise %q; use one of %v", p.Promise, promises)
	case p.Failure == "":
		return errors.Errorf("the proof of %s names no failure", p.Promise)
	case p.Test == "" && p.Reason == "":
		return errors.Errorf("%s under %s has neither a test nor a reason", p.Promise, p.Failure)
	case p.Test != "" && p.Package == "":
		return errors.Errorf("%s names no package", p.Test)
	}
	return nil
}
