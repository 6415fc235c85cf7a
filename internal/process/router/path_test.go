package router_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/router"
)

func TestParseServicePath(t *testing.T) {
	for _, test := range []struct {
		target, decoded, escaped string
		rejected                 bool
	}{
		{target: "/services/orders/deposits", decoded: "/deposits", escaped: "/deposits"},
		{target: "/services/orders/", decoded: "/", escaped: "/"},
		{target: "/services/orders/deposits/", decoded: "/deposits/", escaped: "/deposits/"},
		{target: "/services/orders/%64eposits", decoded: "/deposits", escaped: "/%64eposits"},
		{target: "/services/orders/%2564eposits", decoded: "/%64eposits", escaped: "/%2564eposits"},
		{target: "/services/orders/x%2Fy", decoded: "/x/y", escaped: "/x%2Fy"},
		{target: "/services/orders/100%25", decoded: "/100%", escaped: "/100%25"},
		{target: "/services/orders/x/%2e%2e/deposits", rejected: true},
		{target: "/services/orders/x/..%2Fdeposits", rejected: true},
		{target: "/services/orders/./deposits", rejected: true},
		{target: "/services/orders//deposits", rejected: true},
		{target: "/services/orders/%5Cdeposits", rejected: true},
		{target: "/services/orders/%FF", rejected: true},
	} {
		t.Run(test.target, func(t *testing.T) {
			decoded, escaped, rejected := router.ParseServicePath(httptest.NewRequest(http.MethodPost, test.target, http.NoBody))
			assert.Equal(t, rejected, test.rejected)
			assert.Equal(t, decoded, test.decoded)
			assert.Equal(t, escaped, test.escaped)
		})
	}
}
