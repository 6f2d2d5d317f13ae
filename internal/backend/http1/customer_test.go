package http1

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/pkg/fleet"
)

// Guards against a key that reaches a backend server, and against a caller that poses as another customer.
func TestCustomerHeaders(t *testing.T) {
	head := func(customer string, drop bool) string {
		r := &http.Request{Method: http.MethodGet, RequestURI: "/a", Host: "a.example", Header: http.Header{
			"Authorization": {"Bearer secret"}, "Customer": {"forged", "again"}, "Connection": {"Customer"},
		}}
		e := &Exchange{
			Headers: dialect.Headers{RequestID: "Request-Id", Deadline: "Deadline", Customer: "Customer"}, Request: r,
			Customer: customer, DropCredentials: drop,
		}
		return string(e.requestHead(fleet.BackendServer{}))
	}
	t.Run("the customer replaces the key and what the caller claims to be", func(t *testing.T) {
		is := is.New(t)
		got := head("mill", true)
		is.True(strings.Contains(got, "Customer: mill\r\n"))
		is.True(!strings.Contains(got, "forged") && !strings.Contains(got, "again") && !strings.Contains(got, "secret"))
	})
	t.Run("a request without a customer has no such header", func(t *testing.T) {
		is.New(t).True(!strings.Contains(head("", true), "Customer"))
	})
	t.Run("without customers, credentials are meant for the backend server", func(t *testing.T) {
		is.New(t).True(strings.Contains(head("", false), "Authorization: Bearer secret\r\n"))
	})
}
