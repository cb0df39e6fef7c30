package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/gateway"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/platform"
)

var errFindings = errors.New("the configuration has warnings or differs from the one in force")

// checkConfiguration reviews the platform's configuration, and compares it with the one in
// force if that is named.
func (c *checkCommand) checkConfiguration() error {
	findings, err := c.review()
	var f *fault.Error
	switch {
	case errors.As(err, &f):
		findings = append(findings, routing.Finding{Severity: routing.Fault, Place: f.Place, Problem: withoutPlace(f), Remedy: f.Remedy})
	case err != nil:
		return err
	}
	if printErr := c.print(findings); printErr != nil {
		return printErr
	}
	switch {
	case err != nil:
		return errBadInput
	case c.Strict && len(findings) > 0:
		return errFindings
	default:
		return nil
	}
}

func (c *checkCommand) review() ([]routing.Finding, error) {
	table, err := platform.ReadConfiguration(c.Configuration)
	if err != nil {
		return nil, err
	}
	findings := table.Review(gateway.Bounds(c.MemoryMB))
	var inForce *routing.Table
	switch {
	case c.InForce != "":
		inForce, err = platform.ReadConfiguration(c.InForce)
		err = errors.Wrap(err, "the version in force")
	case c.Store != "":
		inForce, err = platform.ConfigurationInForce(context.Background(), c.Store)
	}
	if err != nil || inForce == nil {
		return findings, err
	}
	return append(findings, table.Compare(inForce)...), nil
}

// withoutPlace returns the problem of a fault with its cause.
func withoutPlace(f *fault.Error) string {
	if f.Cause == nil {
		return f.Problem
	}
	return fmt.Sprintf("%s: %v", f.Problem, f.Cause)
}

func (c *checkCommand) print(findings []routing.Finding) error {
	if c.JSON {
		if findings == nil {
			findings = []routing.Finding{}
		}
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(findings), "write the findings")
	}
	for _, f := range findings {
		fmt.Fprintln(c.out, f)
	}
	return nil
}
