package router

import (
	"encoding/json"
	"net/http"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// modelList is the OpenAI-compatible response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     ident.ModelName `json:"id"`
	Object string          `json:"object"`
}

// writeModels writes the list of models for which the customer has a route.
func writeModels(w http.ResponseWriter, set *record.Set, customer *record.Customer) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	seen := make(map[ident.ModelName]bool)
	for _, route := range set.Routes() {
		if route.Model == "" || seen[route.Model] {
			continue
		}
		if _, ok := set.ModelRoute(customer.Name, route.Model); ok {
			seen[route.Model] = true
			list.Data = append(list.Data, modelEntry{ID: route.Model, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
