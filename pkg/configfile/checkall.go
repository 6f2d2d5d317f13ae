package configfile

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"egretline.example/egretline/pkg/fleet"
)

// Source is the name and text of one configuration file.
type Source struct {
	Name     string
	Contents []byte
}

// CheckAll returns the problems of the individual files or, if each file is valid, the problems of the merged
// configuration.
func CheckAll(sources []Source) []fleet.Problem {
	var problems []fleet.Problem
	files := make([]fleet.File, 0, len(sources))
	contents := map[string][]byte{}
	for _, s := range sources {
		if _, duplicate := contents[s.Name]; duplicate {
			problems = append(problems, fleet.Problem{
				File: s.Name, Message: "two files have this name", Remedy: "rename one of them",
			})
		}
		contents[s.Name] = s.Contents
		f, err := Decode(s.Name, s.Contents)
		var invalid InvalidFileError
		if errors.As(err, &invalid) {
			problems = append(problems, invalid.Problems()...)
		}
		files = append(files, f)
	}
	if len(problems) > 0 {
		return problems
	}
	problems = Merge(files).Problems
	for i, p := range problems {
		problems[i].Line = definitionLine(contents[p.File], p.Key)
	}
	return problems
}

// definitionLine returns the line of the definition that a key such as route.checkout names, or 0 if it is not found.
func definitionLine(contents []byte, key string) int {
	var d document
	if err := toml.Unmarshal(contents, &d); err != nil || key == "" {
		return 0
	}
	kind, name, _ := strings.Cut(key, ".")
	switch kind {
	case "route":
		i := slices.IndexFunc(d.Routes, func(r routeEntry) bool { return r.Name == name })
		key = fmt.Sprintf("route[%d]", i)
	case "rank":
		i := slices.IndexFunc(d.Ranks, func(r rankEntry) bool { return r.Name == name })
		key = fmt.Sprintf("rank[%d]", i)
	}
	return keyLines(contents)[key]
}
