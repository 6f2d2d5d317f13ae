package peerapi

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/zoneshare"
)

// Guards against loads that change on their way to another host, and against negative ones of a faulty sender.
func TestServiceLoads(t *testing.T) {
	loads := map[string]zoneshare.Load{"rental-desk": {Demand: 12.34, Slots: 40}}
	body, err := json.Marshal(LoadsMessage(loads))
	is.New(t).NoErr(err)
	t.Run("round trip", func(t *testing.T) {
		assertLoad(t, body, zoneshare.Load{Demand: 12.3, Slots: 40})
	})
	t.Run("negative values", func(t *testing.T) {
		assertLoad(t, []byte(`{"services":{"rental-desk":{"demand":-1,"slots":-40}}}`), zoneshare.Load{})
	})
}

func assertLoad(t *testing.T, body []byte, want zoneshare.Load) {
	t.Helper()
	is := is.New(t)
	var m ServiceLoads
	is.NoErr(json.Unmarshal(body, &m))
	is.Equal(m.Loads(), map[string]zoneshare.Load{"rental-desk": want})
}
