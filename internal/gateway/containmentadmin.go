package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"swiftbank.dev/swiftbank/internal/quarantine"
)

// QuarantinePath is where a gateway's operator address lists the requests under which instances ended; a
// request is released at its key below it.
const QuarantinePath = "/quarantine"

// SuspectRequest is an entry of the list.
type SuspectRequest struct {
	Key     string           `json:"key"`
	Verdict string           `json:"verdict"`
	Ended   int              `json:"ended"`
	AgeMS   int64            `json:"ageMs"`
	Runs    []quarantine.Run `json:"runs"`
}

// RouteQuarantine adds the list and the release of requests to the operator's interface.
func (s *Server) RouteQuarantine(router *httprouter.Router) {
	if s.containment == nil {
		return
	}
	router.GET(QuarantinePath, s.serveQuarantine)
	router.DELETE(QuarantinePath+"/:key", s.serveRelease)
}

func (s *Server) serveQuarantine(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	listed := []SuspectRequest{}
	for _, suspicion := range s.containment.list(time.Now()) {
		listed = append(listed, SuspectRequest{
			Key: suspicion.Key.String(), Verdict: suspicion.Standing.Verdict(s.containment.limit).String(),
			Ended: suspicion.Standing.Ended, AgeMS: suspicion.Age.Milliseconds(), Runs: suspicion.Runs,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(listed); err != nil {
		s.log.Warn().Str("event", "quarantine_unsent").Err(err).Msg("")
	}
}

func (s *Server) serveRelease(w http.ResponseWriter, _ *http.Request, parameters httprouter.Params) {
	var key quarantine.Key
	if err := key.UnmarshalText([]byte(parameters.ByName("key"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.release(key, "operator", "") == 0 {
		http.Error(w, "no instance is known to have ended under this request", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
