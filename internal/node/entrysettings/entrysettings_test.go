package entrysettings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/settings"
)

const minimal = `
host-id = "edge-1"
availability-zone = "a"
caller-address = "127.0.0.1:1"
peer-address = "127.0.0.1:2"
directory-address = "127.0.0.1:3"
readiness-address = "127.0.0.1:4"
metrics-address = "127.0.0.1:5"
log-address = "127.0.0.1:6"
cpu-share = 0.5
cores = 1
bandwidth-mbps = 10
memory-mb = 200
entry-ttl = "3s"
grace = "6s"
`

// Guards against settings of zones that change how a node without them serves, and against unusable values.
func TestZoneSettings(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		is := is.New(t)
		s, err := Decode("node.toml", []byte(minimal))
		is.NoErr(err)
		is.Equal(s.ZonePreference, false)
		is.Equal(s.ZoneCrossingTime.Duration, 3*time.Millisecond)
		is.Equal(s.ZoneTransferCost.Duration, time.Second)
	})
	t.Run("negative cost", func(t *testing.T) { assertRefused(t, `zone-transfer-cost = "-1s"`, "zone-transfer-cost") })
	t.Run("no crossing time", func(t *testing.T) { assertRefused(t, `zone-crossing-time = "0s"`, "zone-crossing-time") })
	t.Run("cost without a unit", func(t *testing.T) { assertRefused(t, `zone-transfer-cost = "1"`, "zone-transfer-cost") })
}

func assertRefused(t *testing.T, line, key string) {
	t.Helper()
	is := is.New(t)
	_, err := Decode("node.toml", []byte(minimal+line+"\n"))
	var fileError settings.FileError
	is.True(errors.As(err, &fileError))
	is.True(strings.Contains(fileError.Error(), key))
}
