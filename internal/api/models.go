package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// modelList is the response of the models endpoint of the OpenAI API.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// model is one entry of a modelList: a version, a model or a class.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models responds with the names that the organisation may use as a model: its allowed
// versions, their models, and all classes.
func (s *Server) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, id identity) {
	list := modelList{Object: "list", Data: []model{}}
	add := func(name, owner string) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: owner})
	}
	for _, m := range id.snapshot.Doc.Models {
		allowed := 0
		for _, v := range m.Versions {
			if id.snapshot.Allowed(id.org, v.Name) {
				add(v.Name, m.Name)
				allowed++
			}
		}
		if allowed > 0 {
			add(m.Name, m.Name)
		}
	}
	for _, c := range id.snapshot.Doc.Classes {
		add(c.Name, "class")
	}
	writeJSON(w, http.StatusOK, list)
}
