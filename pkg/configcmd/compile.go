package configcmd

import (
	"maps"
	"slices"

	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// maxReported bounds the log lines about the problems of one configuration.
const maxReported = 20

// Compile returns the configuration of the folded state, or nil if the state holds no file, and the decoded files. Files
// that are known with the same revision are not decoded again. The result depends on the state only, so that all nodes
// with the same state serve alike. A file that cannot be decoded defines nothing.
func Compile(s fold.State, known map[string]table.DecodedFile) (*fleet.Configuration, map[string]table.DecodedFile) {
	if len(s.Files) == 0 {
		return nil, nil
	}
	decoded := make(map[string]table.DecodedFile, len(s.Files))
	files := make([]fleet.File, 0, len(s.Files))
	var problems []fleet.Problem
	for _, name := range slices.Sorted(maps.Keys(s.Files)) {
		d, found := known[name]
		if !found || d.Revision != s.Files[name].Revision {
			d = decode(name, s.Files[name])
		}
		decoded[name] = d
		if d.Problem != nil {
			problems = append(problems, *d.Problem)
			continue
		}
		files = append(files, d.File)
	}
	c := configfile.Merge(files)
	c.Revision = s.Revision
	c.Problems = append(problems, c.Problems...)
	return c, decoded
}

func decode(name string, f fold.File) table.DecodedFile {
	file, problem := configfile.DecodeAccepted(name, f.Contents)
	return table.DecodedFile{Revision: f.Revision, File: file, Problem: problem}
}

func (f *Follower) report(s fold.State, problems []fleet.Problem) {
	f.Logger.Info().Int64("revision", s.Revision).Int("files", len(s.Files)).Int("problems", len(problems)).
		Msg("configuration in force")
	for _, p := range problems[:min(len(problems), maxReported)] {
		f.Logger.Warn().Int64("revision", s.Revision).Str("file", p.File).Str("key", p.Key).Str("remedy", p.Remedy).
			Msg(p.Message)
	}
}
