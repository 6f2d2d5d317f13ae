package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

// emptyTokenConfig is uploadConfig with a tenant whose token hash is that of an empty token.
type emptyTokenConfig struct{}

func (emptyTokenConfig) Current() *fleet.Configuration {
	c := uploadConfig{}.Current()
	sum := sha256.Sum256(nil)
	c.Tenants = map[string]fleet.Tenant{hex.EncodeToString(sum[:]): {Name: "shop", Services: []string{"desk"}}}
	return c
}

// Guards against a tenant whose routes are open to all, because its token hash was made from an empty token.
func TestRequestsWithoutToken(t *testing.T) {
	for _, authorization := range []string{"", "Bearer", "Bearer "} {
		t.Run("authorization "+authorization, func(t *testing.T) {
			h := newUploadHandler(fixedGroups{}, "")
			h.Config = emptyTokenConfig{}
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/book/1", http.NoBody)
			r.Header.Set("Authorization", authorization)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			is.New(t).Equal(w.Code, http.StatusUnauthorized)
		})
	}
}
