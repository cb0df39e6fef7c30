package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/baobabstack/baobabstack/internal/standin"
)

const settingsText = `[entry]
id = "vm-1"
data_centre = "modjo"
[callers]
address = "127.0.0.1:1"
[peers]
address = "127.0.0.1:2"
[admin]
address = "127.0.0.1:3"
[configuration]
url = "http://127.0.0.1:4"
`

// check runs the command on the texts, each in a file named like its flag, and
// returns the exit status and the lines without the folder.
func check(t *testing.T, texts map[string]string) (int, string) {
	t.Helper()
	dir := t.TempDir()
	args := []string{"check"}
	for name, text := range texts {
		file := filepath.Join(dir, name+".toml")
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		args = append(args, "--"+name, file)
	}
	var out, errOut bytes.Buffer
	status := Run(args, &out, &errOut)
	return status, strings.ReplaceAll(errOut.String(), dir+"/", "")
}

func TestCheckAcceptsGoodFiles(t *testing.T) {
	status, lines := check(t, map[string]string{
		"settings": settingsText, "plans": string(standin.SamplePlans()), "allowances": string(standin.SampleAllowances()),
	})
	assert.Equal(t, lines, "")
	assert.Equal(t, status, exitOK)
}

func TestCheckNamesFileLineKeyAndRemedy(t *testing.T) {
	plans, allowances := string(standin.SamplePlans()), string(standin.SampleAllowances())
	replace := func(text, from, to string) string {
		assert.Assert(t, strings.Contains(text, from), from)
		return strings.Replace(text, from, to, 1)
	}
	for _, c := range []struct{ flag, text, want string }{
		{"settings", settingsText + "retries = 3\n", `settings.toml:12: configuration.retries: is an unknown key; remove it or correct its spelling`},
		{
			"settings", settingsText + "[callers.limits]\nx = 1\n[log]\nlevels = 1\n",
			"settings.toml:12: callers.limits: is an unknown key; remove it or correct its spelling\n" +
				"settings.toml:15: log.levels: is an unknown key; remove it or correct its spelling",
		},
		{"settings", replace(settingsText, "127.0.0.1:2", "peer:2"), `settings.toml:7: peers.address: "peer:2" is not an IP address and port; write it like 10.0.0.1:8080`},
		{"settings", replace(settingsText, "data_centre = \"modjo\"\n", ""), `settings.toml:1: entry.data_centre: is missing; name the VM's data centre`},
		{"allowances", replace(allowances, "plans.agent.moves", "plans.agent.movez"), `allowances.toml:21: plans.agent.movez: is no service of this list; declare [services.movez] or correct the name`},
		{"allowances", replace(allowances, `method = "POST"`, `method = "SEND"`), `allowances.toml:13: services.moves.operations.book.method: is "SEND"; use GET, POST, PUT, PATCH or DELETE`},
		{"allowances", replace(allowances, "connections = 260", "connections = 16"), `allowances.toml:5: services.stock.connections: is 16, below entries (17); give at least one connection for each entry VM`},
		{"allowances", replace(allowances, "rate = 170000\n", "rate = \"fast\"\n"), `allowances.toml:16: plans.agent.stock.rate: cannot decode TOML string as float64; correct the value's type or the TOML syntax`},
		{"plans", replace(plans, "customers.shipping-agents", `customers."shipping agents, Ltd."`) + "x = 1\n", `plans.toml:7: end.x: is an unknown key; remove it or correct its spelling`},
		{
			"plans", replace(replace(plans, "customers.shipping-agents", `customers . "agents.Ltd"`), "sha256:", "md5:"),
			"plans.toml:3: customers.agents.Ltd.key_hash: is not sha256: followed by 64 hex digits; write the output of `baobabstack hash-key`",
		},
		{"plans", replace(plans, "customers = 1", "customers = 2"), `plans.toml:6: end.customers: is 2 but the list names 1 customers; restore the missing customers or correct the number`},
	} {
		status, lines := check(t, map[string]string{c.flag: c.text})
		assert.Check(t, is.Equal(strings.TrimSuffix(lines, "\n"), c.want))
		assert.Equal(t, status, exitBadInput)
	}
}

func TestCheckCrossChecksTheLists(t *testing.T) {
	status, lines := check(t, map[string]string{
		"plans":      strings.Replace(string(standin.SamplePlans()), `"agent"`, `"agents"`, 1),
		"allowances": string(standin.SampleAllowances()),
	})
	assert.Equal(t, lines, "plans.toml:1: customers.shipping-agents.plan: plan \"agents\" is not in the allowances list; add the plan to the allowances list first or correct the name\n")
	assert.Equal(t, status, exitBadInput)
}

func TestCheckOfMissingFile(t *testing.T) {
	var out, errOut bytes.Buffer
	assert.Equal(t, Run([]string{"check", "--plans", "/nowhere/plans.toml"}, &out, &errOut), exitBadInput)
	assert.Equal(t, errOut.String(), "/nowhere/plans.toml: cannot be read: open /nowhere/plans.toml: no such file or directory; give the path of a list file\n")
	assert.Equal(t, Run([]string{"check"}, &out, &errOut), exitBadInput)
}

// The examples of the operators' page are lists that pass.
func TestExamplesOfTheListsPagePass(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/lists.md")
	assert.NilError(t, err)
	section := func(title, key string) string {
		_, text, found := strings.Cut(string(page), "\n## "+title+"\n")
		assert.Assert(t, found, title)
		start, end := strings.Index(text, "    "+key), strings.Index(text, "\n| key")
		assert.Assert(t, start >= 0 && end > start, title)
		return strings.ReplaceAll(text[start:end], "\n    ", "\n")[4:]
	}
	allowances := section("allowances", "entries = ")
	status, lines := check(t, map[string]string{"plans": section("plans", "[customers."), "allowances": allowances})
	assert.Equal(t, lines, "")
	assert.Equal(t, status, exitOK)
}

func TestCheckOfAGatewaysSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.toml")
	assert.NilError(t, os.WriteFile(file, []byte("[entry]\nid = \"\"\n"), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, Run([]string{"check", "--gateway", file}, &out, &errOut), exitBadInput)
	assert.Assert(t, strings.Contains(errOut.String(), file+":2: entry.id: is missing; give the VM's id"), errOut.String())
}

func configurationText(version, timeout, host string) string {
	return `{"version":"` + version + `","routes":[{"name":"r","host":"` + host + `","prefix":"/","route_type":"safe","service":"s","timeout":"` + timeout + `","target_latency":"200ms","attempts":2}],` +
		`"services":[{"name":"s","health_path":"/health","max_connections":4}],"limits":{"max_body_bytes":1000,"header_timeout":"3s","idle_timeout":"15s"}}`
}

// Guards against exit statuses and lines by which scripts of operators decide.
func TestCheckOfAConfiguration(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	good, inForce := write("good.json", configurationText("00000002", "1s", "a.example")), write("old.json", configurationText("00000001", "2s", "a.example"))
	run := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		status := Run(append([]string{"check"}, args...), &out, &errOut)
		return status, out.String()
	}
	status, lines := run("--configuration", good, "--strict")
	assert.Equal(t, status, exitOK, lines)
	assert.Equal(t, lines, "")

	status, lines = run("--configuration", good, "--in-force", inForce)
	assert.Equal(t, status, exitOK)
	assert.Assert(t, strings.HasPrefix(lines, "change: route r: changes from a.example/ to s*1, idempotent true, attempts 2, timeout 2s"), lines)
	status, _ = run("--configuration", good, "--in-force", inForce, "--strict")
	assert.Equal(t, status, exitFailed)

	status, lines = run("--configuration", write("odd.json", configurationText("00000002", "1s", "a.example:80")), "--json")
	assert.Equal(t, status, exitOK)
	assert.Assert(t, strings.Contains(lines, `"severity": "warning"`) && strings.Contains(lines, `"place": "route r"`), lines)

	status, lines = run("--configuration", write("bad.json", configurationText("0000000x", "1s", "a.example")))
	assert.Equal(t, status, exitBadInput)
	assert.Assert(t, strings.HasPrefix(lines, "error: ") && strings.Contains(lines, "version: is not a 32-bit hexadecimal number"), lines)
	assert.Assert(t, strings.Contains(lines, "use eight hexadecimal digits"), lines)
}
