// Package explain merges the log lines of several processes about one request into one
// ordered report, together with the state that its nodes acted on.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Node  string
	Event string
	// Time is the node's wall clock time. CorrectedTime is Time minus the node's estimated clock
	// offset from the reference node.
	Time          time.Time
	CorrectedTime time.Time
	Fields        map[string]any
	// order is the line's position in the input.
	order int
}

// Log is the content of one or several logs.
type Log struct {
	Lines []Line
	// Unreadable counts lines whose JSON is invalid or has no time or node.
	Unreadable int
	// Dropped counts, by node, the lines that the processes report as dropped.
	Dropped map[string]int
	// ClockJumps counts, by node, how often the wall clock went back.
	ClockJumps map[string]int
}

// maxLine is the maximum length of one line in bytes.
const maxLine = 1 << 20

// Read adds the lines of one input. Text before the first brace of a line, such as the prefix
// that a log collector adds, is skipped.
func (l *Log) Read(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scanner.Scan() {
		l.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	return nil
}

func (l *Log) add(content []byte) {
	start := bytes.IndexByte(content, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if json.Unmarshal(content[start:], &fields) != nil {
		l.Unreadable++
		return
	}
	timestampMS, hasTime := fields["time"].(float64)
	node, hasNode := fields["node"].(string)
	if !hasTime || !hasNode {
		l.Unreadable++
		return
	}
	event, _ := fields["event"].(string)
	line := Line{Node: node, Event: event, Time: time.UnixMilli(int64(timestampMS)), Fields: fields, order: len(l.Lines)}
	l.Lines = append(l.Lines, line)
}

// prepare counts dropped lines and clock jumps and corrects the nodes' clocks.
func (l *Log) prepare() {
	l.Dropped, l.ClockJumps = map[string]int{}, map[string]int{}
	last := map[string]time.Time{}
	const jumpThreshold = 500 * time.Millisecond
	for _, line := range l.Lines {
		if lines, hasCount := line.Fields["lines"].(float64); line.Event == "log_dropped" && hasCount {
			l.Dropped[line.Node] += int(lines)
		}
		if line.Time.Before(last[line.Node].Add(-jumpThreshold)) {
			l.ClockJumps[line.Node]++
		}
		last[line.Node] = line.Time
	}
	offsets := l.clockOffsets()
	for i := range l.Lines {
		l.Lines[i].CorrectedTime = l.Lines[i].Time.Add(-offsets[l.Lines[i].Node])
	}
}

// anchor returns the name of an event that all nodes log at nearly the same time, a configuration
// version or the epoch of a cell, and "" for other lines.
func (l Line) anchor() string {
	switch l.Event {
	case "configuration_changed":
		return fmt.Sprint("configuration ", l.Fields["version"])
	case "set_changed":
		return fmt.Sprint("set ", l.Fields["cell"], " ", l.Fields["epoch"])
	default:
		return ""
	}
}

// clockOffsets estimates each node's clock offset from the node with the most anchors, as the
// median over the anchors that both logged.
func (l *Log) clockOffsets() map[string]time.Duration {
	anchors := map[string]map[string]time.Time{}
	for _, line := range l.Lines {
		name := line.anchor()
		if name == "" {
			continue
		}
		if anchors[line.Node] == nil {
			anchors[line.Node] = map[string]time.Time{}
		}
		if _, known := anchors[line.Node][name]; !known {
			anchors[line.Node][name] = line.Time
		}
	}
	reference := ""
	for _, node := range slices.Sorted(maps.Keys(anchors)) {
		if reference == "" || len(anchors[node]) > len(anchors[reference]) {
			reference = node
		}
	}
	offsets := map[string]time.Duration{}
	for node, own := range anchors {
		var differences []time.Duration
		for name, at := range own {
			if other, both := anchors[reference][name]; both {
				differences = append(differences, at.Sub(other))
			}
		}
		if len(differences) > 0 {
			slices.Sort(differences)
			offsets[node] = differences[len(differences)/2]
		}
	}
	return offsets
}

// Report is the result of Explain for one request.
type Report struct {
	ID string `json:"id"`
	// Found is false when no line names the request.
	Found bool `json:"found"`
	// Steps are the lines that name the request, and those of the same nodes that changed
	// their state shortly before or during it.
	Steps []Step `json:"steps"`
	// Warnings list what may be missing or out of order.
	Warnings []string `json:"doubts,omitempty"`
}

// Step is one line of a report.
type Step struct {
	// AtMS is the time since the first step in milliseconds.
	AtMS        int64          `json:"atMs"`
	Node        string         `json:"node"`
	Event       string         `json:"event"`
	Description string         `json:"about"`
	Fields      map[string]any `json:"fields"`
}

// contextWindow is how long before a request's start a state change is still included as context.
const contextWindow = 3 * time.Second

// Explain reports on a request by its id.
func (l *Log) Explain(id string) Report {
	l.prepare()
	report := Report{ID: id, Warnings: l.warnings()}
	attempts := l.attemptsOfStream(id)
	maps.Copy(attempts, l.attemptsWithKeyOf(id))
	var requestLines []Line
	for _, line := range l.Lines {
		if attempt, named := line.Fields["id"].(string); named && attempts[attempt] {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		report.Warnings = append(report.Warnings, "no line names this id: check the logs of the other nodes and whether lines were dropped")
		return report
	}
	report.Found = true
	lines := append(requestLines, l.stateChanges(requestLines)...)
	slices.SortStableFunc(lines, func(a, b Line) int {
		if a.Node == b.Node {
			return cmp.Compare(a.order, b.order)
		}
		return a.CorrectedTime.Compare(b.CorrectedTime)
	})
	first := lines[0].CorrectedTime
	for _, line := range lines {
		report.Steps = append(report.Steps, Step{
			AtMS: line.CorrectedTime.Sub(first).Milliseconds(), Node: line.Node, Event: line.Event, Description: describe(line), Fields: line.Fields,
		})
	}
	return report
}

// attemptsOfStream returns the ids of all attempts of the caller at the stream that a request belongs to:
// the one that returned its first event and those that resumed it. For other requests it returns their
// id alone.
func (l *Log) attemptsOfStream(id string) map[string]bool {
	first := id
	for _, line := range l.Lines {
		if resumed, _ := line.Fields["resumes"].(string); resumed != "" && line.Fields["id"] == id {
			first = resumed
		}
	}
	attempts := map[string]bool{id: true, first: true}
	for _, line := range l.Lines {
		if attempt, named := line.Fields["id"].(string); named && line.Fields["resumes"] == first {
			attempts[attempt] = true
		}
	}
	return attempts
}

// attemptsWithKeyOf returns the ids of all attempts with the same request key: those of one caller at one
// request, if instances ended under it or connections broke. Other requests have no key in the logs.
func (l *Log) attemptsWithKeyOf(id string) map[string]bool {
	key := ""
	for _, line := range l.Lines {
		if logged, _ := line.Fields["request_key"].(string); logged != "" && line.Fields["id"] == id {
			key = logged
		}
	}
	attempts := map[string]bool{}
	for _, line := range l.Lines {
		if attempt, named := line.Fields["id"].(string); key != "" && named && attempt != "" && line.Fields["request_key"] == key {
			attempts[attempt] = true
		}
	}
	return attempts
}

// stateChanges returns the lines without a request id that the same nodes logged from contextWindow
// before the request's start until its last line.
func (l *Log) stateChanges(requestLines []Line) []Line {
	from, to := map[string]time.Time{}, map[string]time.Time{}
	for _, line := range requestLines {
		start := line.CorrectedTime
		if took, timed := line.Fields["took_ms"].(float64); timed {
			start = start.Add(-time.Duration(took) * time.Millisecond)
		}
		if from[line.Node].IsZero() || start.Before(from[line.Node]) {
			from[line.Node] = start
		}
		if line.CorrectedTime.After(to[line.Node]) {
			to[line.Node] = line.CorrectedTime
		}
	}
	var changes []Line
	for _, line := range l.Lines {
		_, hasID := line.Fields["id"]
		since, involved := from[line.Node]
		if hasID || !involved || line.CorrectedTime.Before(since.Add(-contextWindow)) || line.CorrectedTime.After(to[line.Node]) {
			continue
		}
		changes = append(changes, line)
	}
	return changes
}

func (l *Log) warnings() []string {
	var found []string
	for _, node := range slices.Sorted(maps.Keys(l.Dropped)) {
		found = append(found, fmt.Sprintf("%s dropped %d lines", node, l.Dropped[node]))
	}
	for _, node := range slices.Sorted(maps.Keys(l.ClockJumps)) {
		found = append(found, fmt.Sprintf("the clock of %s went back %d times: its lines are kept in logged order", node, l.ClockJumps[node]))
	}
	if l.Unreadable > 0 {
		found = append(found, fmt.Sprintf("%d lines could not be read", l.Unreadable))
	}
	return found
}

// describe returns a one-sentence description of a line.
func describe(line Line) string {
	value := func(name string) string { return formatValue(line.Fields[name]) }
	switch line.Event {
	case "request":
		return fmt.Sprintf("answered %s (%s) after %s ms on route %s under configuration %s: %s sends, last to %s with %s requests there%s%s; %s",
			value("status"), value("result"), value("took_ms"), value("route"), value("config"), value("sends"), orNone(value("instance")),
			value("load"), describePlacement(line), describeVersions(line), orNone(value("reason")))
	case "stream_continuation":
		return fmt.Sprintf("resumes the stream of %s after event %q, which began at software version %s of %s (known from: %s): %s",
			orNone(value("resumes")), value("last_event"), orNone(value("stream_version")), value("service"), value("version_source"), value("result"))
	case "send_failed":
		return fmt.Sprintf("send to %s failed after %s ms, verdict %s: %s", value("instance"), value("since_ms"), value("verdict"), value("reason"))
	case "resend_withheld":
		return fmt.Sprintf("waits after %s sends: no connection to %s may carry it again", value("sends"), value("instances"))
	case "unsolicited_answer":
		return fmt.Sprintf("%s sent an answer to %s (status %s) in place of its answer; skipped", value("instance"), orNone(value("answer_id")), value("status"))
	case "run_lost":
		return fmt.Sprintf("lost its run at %s after %s ms (%s); %s ms later: entry %s, connection attempt %s, so the instance %s; request key %s",
			value("instance"), value("ran_ms"), value("cause"), value("known_after_ms"), value("entry"), orNone(value("contact")), describeOutcome(value("outcome")), value("request_key"))
	case "request_withheld":
		return fmt.Sprintf("waits for %s ms at most: %s instances ended under it, and of %s more it becomes known whether they did; request key %s",
			value("open_for"), value("ended"), value("possible"), value("request_key"))
	case "suspect_sent":
		return fmt.Sprintf("sent to %s with %s requests there although %s instances ended under it and %s more may have; recorded: %s",
			value("instance"), value("load"), value("ended"), value("possible"), value("recorded"))
	case "request_contained":
		return fmt.Sprintf("not sent (%s): %s instances ended under it and %s more may have; retry after %s ms; request key %s",
			value("verdict"), value("ended"), value("possible"), value("retry_after"), value("request_key"))
	case "request_released":
		return fmt.Sprintf("nothing counts against the request any more (%s), %s runs released", value("reason"), value("runs"))
	case "program_admission":
		return fmt.Sprintf("new program, verdict %s: room for %s of %s slots, %s committed, %s reserved for higher priority; %s arrivals per second of rank %s, admitted with probability %s; retry after %s ms",
			value("verdict"), value("room"), value("slots"), value("committed"), value("reserved"), value("asked_per_s"), value("rank"), value("chance"), value("wait"))
	case "limit_reached":
		if value("held") == "true" {
			return fmt.Sprintf("tenant %s holds back new programs: %s started within the window, at %s requests each, and its limit of %s/s with a burst of %s has credit for %s; %s, its home lender, expects credit for a whole program in %s ms",
				value("tenant"), value("begun"), value("per_program"), value("limit_per_s"), value("limit_burst"), value("credit"), value("lender"), value("wait"))
		}
		return fmt.Sprintf("tenant %s exceeds its limit of %s/s with a burst of %s under configuration %s: %s, the last lender asked, has an allowance in %s ms",
			value("tenant"), value("limit_per_s"), value("limit_burst"), value("config"), value("lender"), value("wait"))
	case "memory_bound":
		return fmt.Sprintf("memory limit for callers reached, bound %q, with %s bytes held by %s requests; it may have run: %s",
			value("bound"), value("held_bytes"), value("in_flight"), value("ran"))
	case "stream_resumed":
		return fmt.Sprintf("stream resumed after event %q of %s: %s", value("last_event"), value("instance"), value("reason"))
	case "history_missing":
		return fmt.Sprintf("this replica lacks turn %s or one before it", value("previous"))
	case "reservation_stale":
		return fmt.Sprintf("refused a reservation under epoch %s, own epoch %s", value("epoch"), value("own_epoch"))
	case "dependency_lost":
		return fmt.Sprintf("lost %s %s: %s", value("dependency"), value("peer"), value("error"))
	case "dependency_regained":
		return fmt.Sprintf("regained %s %s", value("dependency"), value("peer"))
	case "configuration_changed":
		return "configuration " + value("version") + " in force"
	case "instance_speed_changed":
		return fmt.Sprintf("estimates that %s is slower than usual by a factor of %s, from %s observations and %s other reporters",
			value("instance"), value("factor"), value("observations"), value("reporters"))
	case "back_ends_changed":
		return fmt.Sprintf("%s instances, %s leaving, gone: %s", value("instances"), value("leaving"), value("gone"))
	case "set_changed":
		return fmt.Sprintf("replica set of epoch %s with %s voters", value("epoch"), value("voters"))
	case "stopping":
		return "planned stop, " + value("in_flight") + " requests in progress"
	default:
		return line.Event
	}
}

// describePlacement describes the expected load of a placement that used aged load reports. It returns
// "" for placements that did not.
func describePlacement(line Line) string {
	age := formatValue(line.Fields["reports_age_ms"])
	if age == "" || age == "0" {
		return ""
	}
	return fmt.Sprintf(" (%s expected, as reports were %s ms old) and %s prompt tokens to read",
		formatValue(line.Fields["expected_load"]), age, formatValue(line.Fields["missing"]))
}

// describeVersions describes the software versions of a stream. It returns "" for other requests.
func describeVersions(line Line) string {
	began := formatValue(line.Fields["stream_version"])
	if began == "" {
		return ""
	}
	return fmt.Sprintf(", whose software version is %s; the stream began at version %s (known from: %s)",
		orNone(formatValue(line.Fields["instance_version"])), began, formatValue(line.Fields["version_source"]))
}

func formatValue(value any) string {
	switch typed := value.(type) {
	case nil:
		return ""
	case float64:
		return strconv.FormatFloat(typed, 'f', -1, 64)
	default:
		return fmt.Sprint(typed)
	}
}

func orNone(value string) string {
	if strings.TrimSpace(value) == "" {
		return "none"
	}
	return value
}
