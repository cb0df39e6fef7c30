package lists

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the dotted keys of a TOML text to their lines. Quoted keys
// stand without their quotes. A key that stands twice, as tables may, has the
// line of the first.
type lineIndex struct {
	lines map[string]int

	data   []byte
	offset int // position up to which line counts newlines
	line   int
}

// indexLines reads the text as far as it is valid TOML.
func indexLines(data []byte) map[string]int {
	index := &lineIndex{lines: make(map[string]int), data: data, line: 1}
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = index.add("", node)
		case unstable.KeyValue:
			index.addKeyValue(table, node)
		}
	}
	return index.lines
}

func (x *lineIndex) addKeyValue(table string, node *unstable.Node) {
	key := x.add(table, node)
	value := node.Value()
	if value == nil || value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			x.addKeyValue(key, it.Node())
		}
	}
}

// add notes the line of a node's key and returns the dotted key.
func (x *lineIndex) add(table string, node *unstable.Node) string {
	var parts []string
	if table != "" {
		parts = append(parts, table)
	}
	offset := x.offset
	for it := node.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
		offset = int(it.Node().Raw.Offset)
	}
	key := strings.Join(parts, ".")
	if _, known := x.lines[key]; !known {
		x.lines[key] = x.lineAt(offset)
	}
	return key
}

// lineAt returns the line of a position. Positions rise from call to call.
func (x *lineIndex) lineAt(offset int) int {
	if offset > x.offset && offset <= len(x.data) {
		x.line += bytes.Count(x.data[x.offset:offset], []byte("\n"))
		x.offset = offset
	}
	return x.line
}
