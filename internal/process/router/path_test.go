package router_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/router"
)

func TestPathsHaveOneSpelling(t *testing.T) {
	for _, test := range []struct {
		target, plain, escaped string
		refused                bool
	}{
		{target: "/services/orders/deposits", plain: "/deposits", escaped: "/deposits"},
		{target: "/services/orders/", plain: "/", escaped: "/"},
		{target: "/services/orders/deposits/", plain: "/deposits/", escaped: "/deposits/"},
		{target: "/services/orders/%64eposits", plain: "/deposits", escaped: "/%64eposits"},
		{target: "/services/orders/%2564eposits", plain: "/%64eposits", escaped: "/%2564eposits"},
		{target: "/services/orders/x%2Fy", plain: "/x/y", escaped: "/x%2Fy"},
		{target: "/services/orders/100%25", plain: "/100%", escaped: "/100%25"},
		{target: "/services/orders/x/%2e%2e/deposits", refused: true},
		{target: "/services/orders/x/..%2Fdeposits", refused: true},
		{target: "/services/orders/./deposits", refused: true},
		{target: "/services/orders//deposits", refused: true},
		{target: "/services/orders/%5Cdeposits", refused: true},
		{target: "/services/orders/%FF", refused: true},
	} {
		t.Run(test.target, func(t *testing.T) {
			plain, escaped, refused := router.PathOf(httptest.NewRequest(http.MethodPost, test.target, http.NoBody))
			assert.Equal(t, refused, test.refused)
			assert.Equal(t, plain, test.plain)
			assert.Equal(t, escaped, test.escaped)
		})
	}
}
