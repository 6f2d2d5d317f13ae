package configfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps dotted keys, with array indexes such as route[2].rank, to line numbers.
type positions map[string]int

// locate returns the lines of all keys of a TOML document that has been decoded before.
func locate(contents []byte) positions {
	p := unstable.Parser{}
	p.Reset(contents)
	l := locator{parser: &p, lines: positions{}, elements: map[string]int{}}
	for p.NextExpression() {
		l.expression(p.Expression())
	}
	return l.lines
}

// line returns the line of the key, or of the nearest enclosing key that has one.
func (p positions) line(key string) int {
	for key != "" {
		if n, found := p[key]; found {
			return n
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

type locator struct {
	parser *unstable.Parser
	lines  positions
	// elements counts the elements of each array of tables so far.
	elements map[string]int
	table    string
}

func (l *locator) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.path(n, "")
		l.note(l.table, n)
	case unstable.ArrayTable:
		l.table = l.path(n, "")
		l.elements[l.table]++
		l.table = l.element(l.table)
		l.note(l.table, n)
	case unstable.KeyValue:
		l.keyValue(n, l.table)
	}
}

func (l *locator) keyValue(n *unstable.Node, table string) {
	key := l.path(n, table)
	l.note(key, n)
	l.value(n.Value(), key)
}

func (l *locator) value(n *unstable.Node, key string) {
	index := 0
	for it := n.Children(); it.Next(); {
		child := it.Node()
		switch {
		case n.Kind == unstable.InlineTable && child.Kind == unstable.KeyValue:
			l.keyValue(child, key)
		case n.Kind == unstable.Array:
			l.value(child, key+"["+strconv.Itoa(index)+"]")
			index++
		}
	}
}

// path joins the parts of the node's key. A part that names an array of tables means its newest element.
func (l *locator) path(n *unstable.Node, table string) string {
	path := table
	for it := n.Key(); it.Next(); {
		if path != "" {
			path = l.element(path) + "."
		}
		path += string(it.Node().Data)
	}
	return path
}

func (l *locator) element(path string) string {
	if count := l.elements[path]; count > 0 {
		return path + "[" + strconv.Itoa(count-1) + "]"
	}
	return path
}

func (l *locator) note(key string, n *unstable.Node) {
	it := n.Key()
	if !it.Next() {
		return
	}
	if _, found := l.lines[key]; !found {
		l.lines[key] = l.parser.Shape(it.Node().Raw).Start.Line
	}
}
