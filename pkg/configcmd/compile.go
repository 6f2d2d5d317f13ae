package configcmd

import (
	"maps"
	"slices"

	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// maxLoggedProblems is the number of problems that are logged for one configuration.
const maxLoggedProblems = 20

// Compile returns the configuration of the folded state and the decoded files, or nil if the state has no files. Files
// in cached with an unchanged revision are not decoded again. The result depends only on the state, so all nodes with
// the same state use the same configuration. A file that cannot be decoded adds a problem and no definitions.
func Compile(s fold.State, cached map[string]table.DecodedFile) (*fleet.Configuration, map[string]table.DecodedFile) {
	if len(s.Files) == 0 {
		return nil, nil
	}
	decoded := make(map[string]table.DecodedFile, len(s.Files))
	files := make([]fleet.File, 0, len(s.Files))
	var problems []fleet.Problem
	for _, name := range slices.Sorted(maps.Keys(s.Files)) {
		d, found := cached[name]
		if !found || d.Revision != s.Files[name].Revision {
			d = decodeFile(name, s.Files[name])
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

func decodeFile(name string, f fold.File) table.DecodedFile {
	file, problem := configfile.DecodeAccepted(name, f.Contents)
	return table.DecodedFile{Revision: f.Revision, File: file, Problem: problem}
}

func (f *Follower) logConfiguration(s fold.State, problems []fleet.Problem) {
	f.Logger.Info().Int64("revision", s.Revision).Int("files", len(s.Files)).Int("problems", len(problems)).
		Msg("configuration in force")
	for _, p := range problems[:min(len(problems), maxLoggedProblems)] {
		f.Logger.Warn().Int64("revision", s.Revision).Str("file", p.File).Str("key", p.Key).Str("remedy", p.Remedy).
			Msg(p.Message)
	}
}
