package cli

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/settings"
)

type checkCommand struct {
	streams
	Settings   string `long:"settings" value-name:"FILE" description:"Settings file (TOML)"`
	Gateway    string `long:"gateway" value-name:"FILE" description:"Settings file of a gateway (TOML)"`
	Plans      string `long:"plans" value-name:"FILE" description:"Plans list (TOML)"`
	Allowances string `long:"allowances" value-name:"FILE" description:"Allowances list (TOML)"`

	Configuration string `long:"configuration" value-name:"FILE" description:"Configuration as the operator writes it to the platform's store (JSON)"`
	InForce       string `long:"in-force" value-name:"FILE" description:"Configuration in force, to compare with (JSON)"`
	Store         string `long:"store" value-name:"IP:PORT" description:"Store to read the configuration in force from"`
	MemoryMB      int    `long:"memory-mb" value-name:"MB" description:"Memory of the smallest entry VM, for the limits on bodies"`
	JSON          bool   `long:"json" description:"Print the findings on a configuration as JSON"`
	Strict        bool   `long:"strict" description:"Exit with 1 if a configuration has warnings or differs from the one in force"`
}

// Execute checks the files that are named.
func (c *checkCommand) Execute([]string) error {
	if c.Settings == "" && c.Gateway == "" && c.Plans == "" && c.Allowances == "" && c.Configuration == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "name at least one of --settings, --gateway, --plans, --allowances and --configuration"}
	}
	var all []error
	if c.Settings != "" {
		_, faults := settings.Load(c.Settings)
		all = append(all, faults...)
	}
	if c.Gateway != "" {
		_, faults := settings.LoadGateway(c.Gateway)
		all = append(all, faults...)
	}
	all = append(all, c.checkLists()...)
	if err := c.faults(all); err != nil || c.Configuration == "" {
		return err
	}
	return c.checkConfiguration()
}

func (c *checkCommand) checkLists() []error {
	plans, faults := load(c.Plans, lists.ParsePlans)
	allowances, more := load(c.Allowances, lists.ParseAllowances)
	faults = append(faults, more...)
	if plans != nil && allowances != nil {
		faults = append(faults, lists.CrossCheck(c.Plans, plans, allowances)...)
	}
	return faults
}

func load[T any](file string, parse func(string, []byte) (*T, []error)) (*T, []error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, []error{fault.Wrap(err, fault.List, file, "cannot be read", "give the path of a list file")}
	}
	return parse(file, data)
}
