package gateway

import (
	"bytes"
	"encoding/gob"
	"time"

	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/tally"
)

// Records of requests are sent to all gateways when they change, not with each load report. A message may be
// lost, so it is sent again.

const (
	// shareDelay collects the requests that one instance was running when it ended.
	shareDelay = time.Millisecond
	// firstRepeat and secondRepeat are the pauses before a message is repeated.
	firstRepeat, secondRepeat = 150 * time.Millisecond, time.Second
	// recordsPerMessage bounds the records in one datagram.
	recordsPerMessage = 64
	// maxLoggedRuns bounds the runs in one log line.
	maxLoggedRuns = 16
	// quarantineSectionName is the section's key in the reports.
	quarantineSectionName = "quarantine"
)

// shareRecord sends the record of a request to all gateways. The returned channel is closed once it was sent.
func (s *Server) shareRecord(key quarantine.Key) (sent <-chan struct{}) {
	c := s.containment
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsent) == 0 {
		c.unsentDone = make(chan struct{})
		time.AfterFunc(shareDelay, s.sendUnsentRecords)
	}
	c.unsent[key] = true
	return c.unsentDone
}

// sendUnsentRecords sends the changed records now and repeats them later.
func (s *Server) sendUnsentRecords() {
	c := s.containment
	c.mu.Lock()
	var keys []quarantine.Key
	for key := range c.unsent {
		keys = append(keys, key)
	}
	clear(c.unsent)
	done := c.unsentDone
	c.mu.Unlock()
	send := func() { s.sendRecords(keys) }
	send()
	close(done)
	time.AfterFunc(firstRepeat, send)
	time.AfterFunc(secondRepeat, send)
}

// sendRecords sends the present records of requests to all gateways.
func (s *Server) sendRecords(keys []quarantine.Key) {
	gossip := s.gossip.Load()
	if gossip == nil {
		return
	}
	for len(keys) > 0 {
		count := min(recordsPerMessage, len(keys))
		gossip.Broadcast(quarantineSectionName, s.encodeRecords(keys[:count]))
		keys = keys[count:]
	}
}

func (s *Server) encodeRecords(keys []quarantine.Key) []byte {
	c := s.containment
	c.mu.Lock()
	var records []quarantine.Record
	for _, key := range keys {
		if runs := c.table.Runs(key); len(runs) > 0 {
			records = append(records, quarantine.Record{Key: key, Runs: runs})
		}
	}
	c.mu.Unlock()
	var message bytes.Buffer
	if err := gob.NewEncoder(&message).Encode(records); err != nil {
		s.log.Error().Str("event", "quarantine_unencoded").Err(err).Msg("")
		return nil
	}
	return message.Bytes()
}

// quarantineSection receives the records of other gateways. It adds nothing to the regular reports.
type quarantineSection struct{ server *Server }

// QuarantineSection returns the section of the load reports with the records of requests that end instances,
// or nil if they are not contained.
func (s *Server) QuarantineSection() reportSection {
	if s.containment == nil {
		return nil
	}
	return &quarantineSection{server: s}
}

func (q *quarantineSection) name() string                { return quarantineSectionName }
func (q *quarantineSection) ownFigures(time.Time) []byte { return nil }

func (q *quarantineSection) zoneFigures(time.Time) []byte { return nil }

func (q *quarantineSection) apply(now time.Time, source tally.Source, _ tally.Version, figures []byte) {
	s := q.server
	var records []quarantine.Record
	if err := gob.NewDecoder(bytes.NewReader(figures)).Decode(&records); err != nil {
		s.log.Warn().Str("event", "quarantine_unreadable").Str("peer", source.Gateway+source.Zone).Err(err).Msg("")
		return
	}
	s.learnRecords(now, source.Gateway+source.Zone, records)
}

// learnRecords merges the records that a peer has sent.
func (s *Server) learnRecords(now time.Time, peer string, records []quarantine.Record) {
	var learned []string
	changes := 0
	for _, record := range records {
		for _, run := range s.containment.merge(now, record.Key, record.Runs...) {
			if changes++; changes <= maxLoggedRuns {
				learned = append(learned, record.Key.String()+" "+run.Outcome.String()+" "+run.Instance)
			}
		}
	}
	if changes > 0 {
		s.log.Info().Str("event", "runs_learned").Str("peer", peer).Int("changes", changes).Strs("runs", learned).Msg("")
	}
}
