// Package configfile decodes configuration files (TOML), checks them, and merges them into the configuration that
// requests use.
package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"egretline.example/egretline/pkg/fleet"
)

// fileName is the form of the names of configuration files. They appear in log lines and URLs.
var fileName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,99}\.toml$`)

// Decode returns the configuration file of that name if it passes the strict check, and RefusedError otherwise.
func Decode(name string, contents []byte) (fleet.File, error) {
	c := &checker{file: name}
	if !fileName.MatchString(name) {
		add[NameError](c, "", "bad file name",
			"use lower-case letters, digits, dots and hyphens, and end in .toml")
		return fleet.File{}, c.refusal()
	}
	var d document
	err := toml.NewDecoder(bytes.NewReader(contents)).DisallowUnknownFields().Decode(&d)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		c.lines = locate(contents)
		c.unknownKeys(unknown)
	} else if err != nil {
		c.syntax(err)
		return fleet.File{}, c.refusal()
	}
	c.lines = locate(contents)
	c.document(d)
	if len(c.faults) > 0 {
		return fleet.File{}, c.refusal()
	}
	return build(name, d), nil
}

// DecodeAccepted returns a file that the log has accepted. It ignores unknown keys and faults other than of syntax,
// because the file passed the check of the node that took it, which may run a newer version. It returns a problem if the
// text is not TOML.
func DecodeAccepted(name string, contents []byte) (fleet.File, *fleet.Problem) {
	var d document
	if err := toml.Unmarshal(contents, &d); err != nil {
		c := &checker{file: name}
		c.syntax(err)
		problem := c.faults[0].Detail()
		return fleet.File{}, &problem
	}
	return build(name, d), nil
}

// wrongType matches the decoder's message about a value of the wrong type, which names Go types.
var wrongType = regexp.MustCompile(`cannot decode TOML (.+) into .* of type (\S+)`)

// syntax records an error of the decoder.
func (c *checker) syntax(err error) {
	p := fleet.Problem{File: c.file, Message: strings.TrimPrefix(err.Error(), "toml: "), Remedy: "write valid TOML"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		p.Line, _ = decode.Position()
		p.Key = strings.Join(decode.Key(), ".")
	}
	if m := wrongType.FindStringSubmatch(p.Message); m != nil {
		p.Message = fmt.Sprintf("a %s where %s is needed", m[1], kind(m[2]))
		p.Remedy = "write " + kind(m[2])
	}
	if strings.Contains(p.Message, "already") {
		p.Remedy = "keep one of the two and move its keys there"
		c.faults = append(c.faults, DuplicateError{p})
		return
	}
	c.faults = append(c.faults, SyntaxError{p})
}

// kind names a Go type of the schema in words.
func kind(goType string) string {
	switch goType {
	case "int":
		return "a whole number"
	case "float64":
		return "a number"
	case "bool":
		return "true or false"
	case "string":
		return "a text in quotes"
	default:
		return "a table or a list"
	}
}

func (c *checker) unknownKeys(unknown *toml.StrictMissingError) {
	for i := range unknown.Errors {
		e := &unknown.Errors[i]
		line, _ := e.Position()
		c.faults = append(c.faults, UnknownKeyError{fleet.Problem{
			File: c.file, Line: line, Key: strings.Join(e.Key(), "."), Message: "unknown key", Remedy: allowed(e.Key()),
		}})
	}
}
