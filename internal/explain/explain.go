// Package explain puts the log lines of several processes about one request in
// order and says what was believed at each decision.
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
	// Time is the node's own time of day; Corrected has the node's difference to the
	// others taken off.
	Time          time.Time
	CorrectedTime time.Time
	Fields        map[string]any
	// order is the line's place in its input.
	order int
}

// Log is the content of one or several logs.
type Log struct {
	Lines []Line
	// Unreadable counts lines that are no JSON object with a time.
	Unreadable int
	// Dropped counts, by node, the lines that the processes say they dropped.
	Dropped map[string]int
	// ClockJumps counts, by node, how often the time of day went back.
	ClockJumps map[string]int
}

// maxLine bounds one line.
const maxLine = 1 << 20

// Read adds the lines of one input. Text before the first brace of a line, as log
// collectors add it, is passed over.
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
	stamp, timed := fields["time"].(float64)
	node, named := fields["node"].(string)
	if !timed || !named {
		l.Unreadable++
		return
	}
	event, _ := fields["event"].(string)
	line := Line{Node: node, Event: event, Time: time.UnixMilli(int64(stamp)), Fields: fields, order: len(l.Lines)}
	l.Lines = append(l.Lines, line)
}

// prepare counts drops and jumps and corrects the nodes' clocks.
func (l *Log) prepare() {
	l.Dropped, l.ClockJumps = map[string]int{}, map[string]int{}
	last := map[string]time.Time{}
	const jump = 500 * time.Millisecond
	for _, line := range l.Lines {
		if lines, counted := line.Fields["lines"].(float64); line.Event == "log_dropped" && counted {
			l.Dropped[line.Node] += int(lines)
		}
		if line.Time.Before(last[line.Node].Add(-jump)) {
			l.ClockJumps[line.Node]++
		}
		last[line.Node] = line.Time
	}
	offsets := l.offsets()
	for place := range l.Lines {
		l.Lines[place].CorrectedTime = l.Lines[place].Time.Add(-offsets[l.Lines[place].Node])
	}
}

// anchor names what all nodes learn within a moment: a version of the configuration
// or an epoch of a cell.
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

// offsets estimates each node's difference to the node with the most anchors: the
// median over the anchors that both have.
func (l *Log) offsets() map[string]time.Duration {
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

// Report is what the logs say of one request.
type Report struct {
	ID string `json:"id"`
	// Found is false when no line names the request.
	Found bool `json:"found"`
	// Steps are the lines that name the request, and those of the same node that
	// changed what it believed while the request was there.
	Steps []Step `json:"steps"`
	// Warnings say what may be missing or out of order.
	Warnings []string `json:"doubts,omitempty"`
}

// Step is one line of a report.
type Step struct {
	// AtMS is the time since the first step.
	AtMS        int64          `json:"atMs"`
	Node        string         `json:"node"`
	Event       string         `json:"event"`
	Description string         `json:"about"`
	Fields      map[string]any `json:"fields"`
}

// beliefSpan is how long before a request's first line a change of belief still
// counts as context.
const beliefSpan = 3 * time.Second

// Explain reports on a request by its id.
func (l *Log) Explain(id string) Report {
	l.prepare()
	report := Report{ID: id, Warnings: l.doubts()}
	var own []Line
	for _, line := range l.Lines {
		if line.Fields["id"] == id {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		report.Warnings = append(report.Warnings, "no line names this id: look for it at the other nodes, and whether their lines were dropped")
		return report
	}
	report.Found = true
	lines := append(own, l.beliefs(own)...)
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

// beliefs returns the lines of the same nodes that changed what they believed from
// shortly before the request until its last line.
func (l *Log) beliefs(own []Line) []Line {
	from, to := map[string]time.Time{}, map[string]time.Time{}
	for _, line := range own {
		began := line.CorrectedTime
		if took, timed := line.Fields["took_ms"].(float64); timed {
			began = began.Add(-time.Duration(took) * time.Millisecond)
		}
		if from[line.Node].IsZero() || began.Before(from[line.Node]) {
			from[line.Node] = began
		}
		if line.CorrectedTime.After(to[line.Node]) {
			to[line.Node] = line.CorrectedTime
		}
	}
	var beliefs []Line
	for _, line := range l.Lines {
		_, names := line.Fields["id"]
		since, there := from[line.Node]
		if names || !there || line.CorrectedTime.Before(since.Add(-beliefSpan)) || line.CorrectedTime.After(to[line.Node]) {
			continue
		}
		beliefs = append(beliefs, line)
	}
	return beliefs
}

func (l *Log) doubts() []string {
	var doubts []string
	for _, node := range slices.Sorted(maps.Keys(l.Dropped)) {
		doubts = append(doubts, fmt.Sprintf("%s dropped %d lines", node, l.Dropped[node]))
	}
	for _, node := range slices.Sorted(maps.Keys(l.ClockJumps)) {
		doubts = append(doubts, fmt.Sprintf("the clock of %s went back %d times: its lines keep their own order", node, l.ClockJumps[node]))
	}
	if l.Unreadable > 0 {
		doubts = append(doubts, fmt.Sprintf("%d lines could not be read", l.Unreadable))
	}
	return doubts
}

// describe says in one sentence what a line means.
func describe(line Line) string {
	value := func(name string) string { return text(line.Fields[name]) }
	switch line.Event {
	case "request":
		return fmt.Sprintf("answered %s (%s) after %s ms on route %s under configuration %s: %s sends, last to %s with %s requests there%s; %s",
			value("status"), value("result"), value("took_ms"), value("route"), value("config"), value("sends"), orNone(value("instance")),
			value("load"), describeExpected(line), orNone(value("reason")))
	case "send_failed":
		return fmt.Sprintf("send to %s failed after %s ms, verdict %s: %s", value("instance"), value("since_ms"), value("verdict"), value("reason"))
	case "program_admission":
		return fmt.Sprintf("new program, verdict %s: room for %s of %s slots, %s committed, %s reserved for more urgent ones, %s of rank %s ask a second of which a part of %s may begin; wait %s ms",
			value("verdict"), value("room"), value("slots"), value("committed"), value("reserved"), value("asked_per_s"), value("rank"), value("chance"), value("wait"))
	case "limit_reached":
		if value("held") == "true" {
			return fmt.Sprintf("tenant %s holds back new programs: %s began within the window, each makes %s requests, its limit of %s a second and a burst of %s has credit for %s; %s, its home lender, expects credit for a whole one in %s ms",
				value("tenant"), value("begun"), value("per_program"), value("limit_per_s"), value("limit_burst"), value("credit"), value("lender"), value("wait"))
		}
		return fmt.Sprintf("tenant %s is beyond its limit of %s a second and a burst of %s under configuration %s: %s, asked last, has an allowance in %s ms",
			value("tenant"), value("limit_per_s"), value("limit_burst"), value("config"), value("lender"), value("wait"))
	case "memory_bound":
		return fmt.Sprintf("memory for callers is used up, bound %q, with %s bytes held by %s requests; it may have run: %s",
			value("bound"), value("held_bytes"), value("in_flight"), value("ran"))
	case "stream_resumed":
		return fmt.Sprintf("stream taken up again behind event %q of %s: %s", value("last_event"), value("instance"), value("reason"))
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
		return fmt.Sprintf("believes that %s takes %s times as long as usual, by %s observations and %s other reporters",
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

// describeExpected says what a placement made of reported load, where it went by its age.
func describeExpected(line Line) string {
	age := text(line.Fields["reports_age_ms"])
	if age == "" || age == "0" {
		return ""
	}
	return fmt.Sprintf(" (%s expected, for reports were %s ms old) and %s prompt tokens to read",
		text(line.Fields["expected_load"]), age, text(line.Fields["missing"]))
}

func text(value any) string {
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
