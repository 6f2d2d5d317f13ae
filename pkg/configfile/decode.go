// Package configfile decodes configuration files (TOML), checks them, and merges them into the configuration that
// requests use.
package configfile

import (
	"bytes"
	"errors"
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

func (c *checker) syntax(err error) {
	line, key, message := 0, "", err.Error()
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
		key = strings.Join(decode.Key(), ".")
		message = strings.TrimPrefix(decode.Error(), "toml: ")
	}
	c.faults = append(c.faults, SyntaxError{fleet.Problem{
		File: c.file, Line: line, Key: key, Message: message,
		Remedy: "write valid TOML with the value types of examples/tulpar.toml",
	}})
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
