package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/schedule"
)

// controlTimeout bounds load, hold, release and stop requests.
const controlTimeout = 2 * time.Second

// loadAnswer is what a back end reports of its load.
type loadAnswer struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	CachedTokens int64 `json:"cachedTokens"`
	Leaving      bool  `json:"leaving"`
}

// pollLoad asks a back end for its load.
func (c *backEndClient) pollLoad(backEnd schedule.BackEnd) {
	var answer loadAnswer
	measured := time.Now()
	if c.control(http.MethodGet, backEnd.Address+"/load", &answer) != nil {
		return
	}
	c.server.push(core.LoadReported{Report: answer.report(backEnd.Name, measured)})
}

func (a *loadAnswer) report(backEnd string, measured time.Time) schedule.LoadReport {
	return schedule.LoadReport{
		BackEnd: backEnd, Running: a.Running, Waiting: a.Waiting,
		CachedTokens: a.CachedTokens, Leaving: a.Leaving, MeasuredAt: measured,
	}
}

// headerLoad is the header in which a back end may report its load with an answer,
// as JSON of the shape of GET /load.
const headerLoad = "X-Load"

// noteLoad records the load that came with an answer, so that busy back ends need
// not be asked.
func (c *backEndClient) noteLoad(backEnd string, header http.Header) {
	text := header.Get(headerLoad)
	var answer loadAnswer
	if text == "" || c.server == nil || json.Unmarshal([]byte(text), &answer) != nil {
		return
	}
	c.server.push(core.LoadReported{Report: answer.report(backEnd, time.Now())})
}

// listHolds asks an engine for which sessions it holds memory.
func (c *backEndClient) listHolds(backEnd schedule.BackEnd) {
	var names []string
	if c.control(http.MethodGet, backEnd.Address+"/holds", &names) != nil {
		return
	}
	event := core.HoldsReported{Engine: backEnd.Name}
	for _, name := range names {
		if key, valid := parseSessionName(name); valid {
			event.Keys = append(event.Keys, key)
		}
	}
	c.server.push(event)
}

// release tells an engine to drop a session's cache.
func (c *backEndClient) release(action core.ReleaseCache) {
	address := action.BackEnd.Address + "/holds?session=" + url.QueryEscape(sessionName(action.Release.Key))
	confirmed := c.control(http.MethodDelete, address, nil) == nil
	c.server.push(core.ReleaseFinished{Release: action.Release, Confirmed: confirmed})
}

// control sends a short request to a back end and decodes the answer, if one is wanted.
func (c *backEndClient) control(method, address string, into any) error {
	ctx, cancel := context.WithTimeout(c.server.context, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return fmt.Errorf("server: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("server: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("server: status %d", response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxAnswerBytes)).Decode(into)
}
