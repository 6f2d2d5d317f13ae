// Package configfile decodes and validates configuration files (TOML) and merges them into the configuration of a node.
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

// fileNamePattern matches valid names of configuration files. Names appear in log lines and URLs.
var fileNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,99}\.toml$`)

// Decode decodes and validates a configuration file. It returns InvalidFileError if the file is invalid or has unknown
// keys.
func Decode(name string, contents []byte) (fleet.File, error) {
	c := &checker{file: name}
	if !fileNamePattern.MatchString(name) {
		addError[NameError](c, "", "bad file name",
			"use lower-case letters, digits, dots and hyphens, and end in .toml")
		return fleet.File{}, c.invalidFileError()
	}
	var d document
	err := toml.NewDecoder(bytes.NewReader(contents)).DisallowUnknownFields().Decode(&d)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		c.lines = keyLines(contents)
		c.addUnknownKeys(unknown)
	} else if err != nil {
		c.addSyntaxError(err)
		return fleet.File{}, c.invalidFileError()
	}
	c.lines = keyLines(contents)
	c.checkDocument(d)
	if len(c.errs) > 0 {
		return fleet.File{}, c.invalidFileError()
	}
	return buildFile(name, d), nil
}

// DecodeAccepted decodes a file from the log. It ignores unknown keys and all validation errors except syntax errors,
// because the node that appended the file has validated it and may run a newer version. It returns a problem if the
// contents cannot be decoded as TOML.
func DecodeAccepted(name string, contents []byte) (fleet.File, *fleet.Problem) {
	var d document
	if err := toml.Unmarshal(contents, &d); err != nil {
		c := &checker{file: name}
		c.addSyntaxError(err)
		problem := c.errs[0].Detail()
		return fleet.File{}, &problem
	}
	return buildFile(name, d), nil
}

// wrongTypePattern matches the decoder's message for a value of the wrong type, which contains the Go type.
var wrongTypePattern = regexp.MustCompile(`cannot decode TOML (.+) into .* of type (\S+)`)

// addSyntaxError records an error of the TOML decoder. Repeated keys and tables become a DuplicateError.
func (c *checker) addSyntaxError(err error) {
	p := fleet.Problem{File: c.file, Message: strings.TrimPrefix(err.Error(), "toml: "), Remedy: "write valid TOML"}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		p.Line, _ = decodeError.Position()
		p.Key = strings.Join(decodeError.Key(), ".")
	}
	if m := wrongTypePattern.FindStringSubmatch(p.Message); m != nil {
		p.Message = fmt.Sprintf("a %s where %s is needed", m[1], typeDescription(m[2]))
		p.Remedy = "write " + typeDescription(m[2])
	}
	if strings.Contains(p.Message, "already") {
		p.Remedy = "keep one of the two and move its keys there"
		c.errs = append(c.errs, DuplicateError{p})
		return
	}
	c.errs = append(c.errs, SyntaxError{p})
}

// typeDescription describes a Go type of the schema for operators.
func typeDescription(goType string) string {
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

func (c *checker) addUnknownKeys(unknown *toml.StrictMissingError) {
	for i := range unknown.Errors {
		e := &unknown.Errors[i]
		line, _ := e.Position()
		c.errs = append(c.errs, UnknownKeyError{fleet.Problem{
			File: c.file, Line: line, Key: strings.Join(e.Key(), "."), Message: "unknown key", Remedy: allowedKeys(e.Key()),
		}})
	}
}
