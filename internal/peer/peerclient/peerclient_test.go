package peerclient

import (
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/test/rawserver"
)

// TestBrokenResponses guards against updates that come from a broken response of another node.
func TestBrokenResponses(t *testing.T) {
	for name, head := range rawserver.MalformedHeads {
		t.Run(name, func(t *testing.T) {
			_, err := New().Sync(t.Context(), rawserver.New(t, rawserver.Send(head+"\r\n{}")), peerapi.SyncRequest{})
			is.New(t).True(err != nil)
		})
	}
	t.Run("a body that ends with its connection is whole", func(t *testing.T) {
		_, err := New().Sync(t.Context(), rawserver.New(t, rawserver.Send("HTTP/1.1 200 OK\r\n\r\n{}")), peerapi.SyncRequest{})
		is.New(t).NoErr(err)
	})
}
