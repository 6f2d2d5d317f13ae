package platformlog_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/standin/logservice"
	"egretline.example/egretline/service/platformlog"
)

func newLog(t *testing.T, faults logservice.Faults) (*logservice.Service, *platformlog.Client) {
	t.Helper()
	service := logservice.New(faults)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, platformlog.New(server.URL, server.Client())
}

// Guards against a client that does not match the log protocol that the stand-in service implements.
func TestClient(t *testing.T) {
	ctx := context.Background()
	t.Run("records come back in order with their offsets", func(t *testing.T) {
		is := is.New(t)
		_, client := newLog(t, logservice.Faults{})
		assertAppend(t, client, "a", 0)
		assertAppend(t, client, "b", 1)
		batch, err := client.Read(ctx, "s", 0, 10, 0)
		is.NoErr(err)
		assertBatch(t, batch, 0, "a", "b")
		batch, err = client.Last(ctx, "s")
		is.NoErr(err)
		assertBatch(t, batch, 1, "b")
	})
	t.Run("a read below the oldest retained offset reports that offset", func(t *testing.T) {
		is := is.New(t)
		_, client := newLog(t, logservice.Faults{RetainCount: 1})
		assertAppend(t, client, "a", 0)
		assertAppend(t, client, "b", 1)
		_, err := client.Read(ctx, "s", 0, 10, 0)
		var expired platformlog.ExpiredError
		is.True(errors.As(err, &expired))
		is.Equal(expired.OldestOffset, int64(1))
		is.Equal(expired.NextOffset, int64(2))
	})
	t.Run("a lost reply is an error although the record was appended", func(t *testing.T) {
		is := is.New(t)
		service, client := newLog(t, logservice.Faults{LoseReplies: 1})
		_, err := client.Append(ctx, "s", []byte("a"))
		is.True(errors.As(err, &platformlog.UnavailableError{}))
		is.Equal(service.NextOffset("s"), int64(1))
	})
	t.Run("an outage is reported with its status", func(t *testing.T) {
		is := is.New(t)
		_, client := newLog(t, logservice.Faults{Outage: true})
		_, err := client.Read(ctx, "s", 0, 10, 0)
		var unavailable platformlog.UnavailableError
		is.True(errors.As(err, &unavailable))
		is.Equal(unavailable.Status, 503)
	})
}

func assertAppend(t *testing.T, client *platformlog.Client, data string, offset int64) {
	t.Helper()
	is := is.NewRelaxed(t)
	got, err := client.Append(context.Background(), "s", []byte(data))
	is.NoErr(err)
	is.Equal(got, offset)
}

func assertBatch(t *testing.T, batch configcmd.Batch, first int64, data ...string) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.Equal(len(batch.Records), len(data))
	for i, r := range batch.Records {
		is.Equal(r.Offset, first+int64(i))
		is.Equal(string(r.Data), data[i])
	}
}
