package server

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/schedule"
)

// OperatorStatus is the answer of GET /status.
type OperatorStatus struct {
	core.Status
	BackEnds []schedule.BackEnd `json:"backEnds"`
}

// operatorHandler serves health, metrics, status and drain.
func (s *Server) operatorHandler() http.Handler {
	router := httprouter.New()
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	router.GET("/readyz", s.serveReady)
	router.GET("/status", s.serveStatus)
	router.POST("/drain", s.serveDrain)
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	return router
}

func (s *Server) status() (OperatorStatus, bool) {
	var status OperatorStatus
	alive := s.query(func(n *core.Node) {
		status.Status = n.Status()
		status.BackEnds = n.Scheduler().BackEnds()
	})
	return status, alive
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status, alive := s.status()
	if !alive || !status.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status, alive := s.status()
	if !alive {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// serveDrain begins a planned stop: leadership moves and readiness goes. The
// process ends when it gets SIGTERM.
func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.push(core.StopWanted{})
	w.WriteHeader(http.StatusAccepted)
}
