package configcmd

import (
	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
)

// Compile returns the configuration of the folded state, or nil if the state holds no file. It depends on nothing else,
// so that all nodes with the same state serve alike.
func Compile(s fold.State) *fleet.Configuration {
	if len(s.Files) == 0 {
		return nil
	}
	var files []fleet.File
	for name, f := range s.Files {
		file, err := configfile.Decode(name, f.Contents)
		if err != nil {
			continue
		}
		files = append(files, file)
	}
	c := configfile.Merge(files)
	c.Revision = s.Revision
	return c
}
