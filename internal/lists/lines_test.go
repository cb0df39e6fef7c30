package lists

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLinesOfKeys(t *testing.T) {
	lines := indexLines([]byte(`top = 1 # [not.a.table]
[a]
text = """
b = 2
"""
"quoted key" = 3
[ a . "b.c" ]
inline = { x = 1, y = { z = 2 } }
d.e = 4
[[list]]
f = 5
[a.last]
`))
	want := map[string]int{
		"top": 1, "a": 2, "a.text": 3, "a.quoted key": 6, "a.b.c": 7, "a.b.c.inline": 8,
		"a.b.c.inline.x": 8, "a.b.c.inline.y": 8, "a.b.c.inline.y.z": 8, "a.b.c.d.e": 9,
		"list": 10, "list.f": 11, "a.last": 12,
	}
	assert.DeepEqual(t, lines, want)
}

func TestPlaceOfMissingKeyIsItsTable(t *testing.T) {
	p := NewPlace("list", "f", []byte("x = 1\n[services.stock]\noperations.lookup = { method = \"GET\" }\n"))
	assert.Equal(t, p.line("services.stock.slots"), 2)
	assert.Equal(t, p.line("services.stock.operations.lookup.method"), 3)
	assert.Equal(t, p.line("plans"), 1)
}

// The time to parse a list grows with its length, not with its square.
func BenchmarkParsePlans(b *testing.B) {
	for _, customers := range []int{100, 1000, 8000} {
		text := plansOf(customers)
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			for b.Loop() {
				if _, faults := ParsePlans("plans", text); len(faults) > 0 {
					b.Fatal(faults[0])
				}
			}
		})
	}
}

func plansOf(customers int) []byte {
	var text strings.Builder
	for i := range customers {
		name := fmt.Sprintf("customer-%d", i)
		fmt.Fprintf(&text, "[customers.%s]\nplan = \"agent\"\nkey_hash = %q\n", name, HashKey(name))
	}
	fmt.Fprintf(&text, "[end]\ncustomers = %d\n", customers)
	return []byte(text.String())
}
