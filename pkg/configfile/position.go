package configfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineNumbers maps dotted keys to line numbers. Array elements have an index, as in route[2].rank.
type lineNumbers map[string]int

// keyLines returns the lines of all keys of a TOML document. The document must be valid TOML.
func keyLines(contents []byte) lineNumbers {
	p := unstable.Parser{}
	p.Reset(contents)
	l := keyLocator{parser: &p, lines: lineNumbers{}, elementCounts: map[string]int{}}
	for p.NextExpression() {
		l.visitExpression(p.Expression())
	}
	return l.lines
}

// line returns the line of the key, or else of its nearest ancestor with a line, or else 1.
func (l lineNumbers) line(key string) int {
	for key != "" {
		if n, found := l[key]; found {
			return n
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

type keyLocator struct {
	parser *unstable.Parser
	lines  lineNumbers
	// elementCounts counts the elements of each array of tables so far.
	elementCounts map[string]int
	// table is the key of the current table.
	table string
}

func (l *keyLocator) visitExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.keyPath(n, "")
		l.recordLine(l.table, n)
	case unstable.ArrayTable:
		l.table = l.keyPath(n, "")
		l.elementCounts[l.table]++
		l.table = l.newestElement(l.table)
		l.recordLine(l.table, n)
	case unstable.KeyValue:
		l.visitKeyValue(n, l.table)
	}
}

func (l *keyLocator) visitKeyValue(n *unstable.Node, table string) {
	key := l.keyPath(n, table)
	l.recordLine(key, n)
	l.visitValue(n.Value(), key)
}

func (l *keyLocator) visitValue(n *unstable.Node, key string) {
	index := 0
	for it := n.Children(); it.Next(); {
		child := it.Node()
		switch {
		case n.Kind == unstable.InlineTable && child.Kind == unstable.KeyValue:
			l.visitKeyValue(child, key)
		case n.Kind == unstable.Array:
			l.visitValue(child, key+"["+strconv.Itoa(index)+"]")
			index++
		}
	}
}

// keyPath returns the dotted key of the node within the table. A prefix that names an array of tables refers to its
// newest element.
func (l *keyLocator) keyPath(n *unstable.Node, table string) string {
	path := table
	for it := n.Key(); it.Next(); {
		if path != "" {
			path = l.newestElement(path) + "."
		}
		path += string(it.Node().Data)
	}
	return path
}

func (l *keyLocator) newestElement(path string) string {
	if count := l.elementCounts[path]; count > 0 {
		return path + "[" + strconv.Itoa(count-1) + "]"
	}
	return path
}

func (l *keyLocator) recordLine(key string, n *unstable.Node) {
	it := n.Key()
	if !it.Next() {
		return
	}
	if _, found := l.lines[key]; !found {
		l.lines[key] = l.parser.Shape(it.Node().Raw).Start.Line
	}
}
