package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"hickorybend/core/site"
	"hickorybend/platform/fakes"
)

// worldEvent is something that can happen in a world.
type worldEvent struct {
	name  string
	apply func()
}

// events returns what can happen now, in a fixed order.
func (world *world) events() []worldEvent {
	var events []worldEvent
	add := func(apply func(), format string, values ...any) {
		name := fmt.Sprintf(format, values...)
		if !slices.ContainsFunc(events, func(event worldEvent) bool { return event.name == name }) {
			events = append(events, worldEvent{name: name, apply: apply})
		}
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for i, request := range world.requests {
		world.addCallerEvents(add, i, request)
	}
	for _, dial := range world.dials {
		for _, action := range []string{"accepts", "rejects", "resets"} {
			add(func() { world.decideDial(dial, action) }, "%s-%s", dial.address, action)
		}
	}
	for _, conn := range world.conns {
		if conn.conn.isOpen() {
			world.addAnswerEvents(add, conn)
		}
	}
	for _, link := range world.links {
		if link.isOpen() {
			add(func() { world.breakLink(link) }, "n2-breaks")
		}
	}
	if world.waits < maxWaits && slices.ContainsFunc(world.requests, func(request *worldRequest) bool { return request.latest().inProgress() }) {
		add(func() { world.waits++; time.Sleep(worldWait) }, "time-passes")
		if !world.stops() {
			add(world.stop, "n1-stops")
		}
		for _, candidate := range world.nodes[0].candidates {
			if world.lost == "" && candidate.Load.OwnInFlight() > 0 {
				add(func() { world.lose(candidate.ID) }, "%s-is-lost", candidate.ID)
			}
		}
	}
	return events
}

type addEvent func(apply func(), format string, values ...any)

// addCallerEvents adds what the caller of a request can do. Requests come in their order, since they are
// equal until then.
func (world *world) addCallerEvents(add addEvent, i int, request *worldRequest) {
	latest := request.latest()
	switch {
	case latest == nil:
		if i == 0 || world.requests[i-1].latest() != nil {
			add(func() { world.send(request, world.nodes[0]) }, "%s-comes", request.id)
		}
	case latest.inProgress() && !latest.left:
		add(func() { world.leave(latest, true) }, "%s-leaves", request.id)
		if world.scenario.nodes == 1 { // another node doesn't see the connection
			add(func() { world.leave(latest, false) }, "%s-leaves-unnoticed", request.id)
		}
	case latest.promisesNotRun() && len(request.sendings) < maxSendings:
		for i, node := range world.nodes {
			if i > 0 && world.scenario.otherKind != nil {
				continue // the request would be another
			}
			add(func() { time.Sleep(worldReturnDelay); world.send(request, node) }, "%s-returns-%s", request.id, node.name)
		}
	}
}

// leave closes a caller's connection. If it is noticed, the HTTP server has read that already.
func (world *world) leave(sending *sending, noticed bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	sending.left = true
	sending.request.comings = append(sending.request.comings, fmt.Sprint("left ", noticed, world.clock()))
	_ = sending.conn.Close()
	if noticed {
		sending.cancel()
	}
}

// lose reports to the first node that an endpoint is lost.
func (world *world) lose(endpoint string) {
	world.lost = endpoint + world.clock()
	for _, request := range world.requests {
		if latest := request.latest(); latest.inProgress() {
			latest.failed = true
		}
	}
	world.nodes[0].server.ReportLost([]string{endpoint})
}

// stop begins a planned stop of the first node.
func (world *world) stop() {
	world.stopsAt = time.Now().Add(worldGrace)
	world.nodes[0].server.Drain(time.Now(), world.stopsAt)
}

// addAnswerEvents adds what the endpoint of a connection can do with it.
func (world *world) addAnswerEvents(add addEvent, conn *worldConn) {
	if world.copies < maxCopies {
		for _, answer := range conn.answers {
			add(func() { world.copyAnswer(conn, answer) }, "%s-copies-%s", conn.endpoint, answer.id)
		}
	}
	if len(conn.pending) == 0 {
		add(func() { world.closeIdle(conn) }, "%s-closes-idle", conn.endpoint)
		return
	}
	arrival := conn.pending[0]
	for _, action := range actions(world.scenario.kind) {
		if action.isPossible(arrival) {
			add(func() { world.answer(conn, arrival, action) }, "%s-%s-%s", conn.endpoint, action.name, arrival.sending.request.id)
		}
	}
}

func (world *world) copyAnswer(conn *worldConn, answer worldAnswer) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.copies++
	world.note(conn, "copies %s", answer.id)
	if len(conn.pending) > 0 && conn.pending[0].begun {
		conn.pending[0].sending.failed = true // the stream has bytes in it that are no part of it
	}
	_, _ = conn.conn.Write([]byte(answer.text))
}

// closeIdle closes a connection without a request.
func (world *world) closeIdle(conn *worldConn) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.note(conn, "closes")
	_ = conn.conn.Close()
}

// action is what an endpoint does with the request that is due on a connection.
type action struct {
	name    string
	text    func(id, after string) string // that is written
	status  int                           // of a whole answer that is the request's own; 0 if it is none
	refuses bool                          // the request has not run
	interim bool                          // the answer is still due
	begins  bool                          // the first event of a stream is written; the rest is still due
	closes  bool                          // the connection afterwards
	resets  bool                          // the connection afterwards
}

const (
	lastChunk = "0\r\n\r\n"
	unknownID = "r0"
)

func bodyFor(id string) string { return "answer to " + id + "\n" }

// answerText returns an answer to the request with an ID.
func answerText(id string, status int, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), fakes.IDLine(id), lines, len(bodyFor(id)), bodyFor(id))
}

// textWithoutLength returns an answer that ends with its connection.
func textWithoutLength(id, _ string) string {
	return "HTTP/1.1 200 OK\r\n" + fakes.IDLine(id) + fakes.ReceiptLine + "\r\n" + bodyFor(id)
}

// eventsFor returns the events of a stream after the one with an ID.
func eventsFor(id, after string) []string {
	all := []string{fmt.Sprintf("id: 1\ndata: %s\n\n", id), fmt.Sprintf("id: 2\ndata: %s\n\n", id)}
	count, _ := strconv.Atoi(after)
	return all[min(count, len(all)):]
}

// streamText returns a stream that answers the request with an ID. Each event is a chunk, and the last chunk is
// empty.
func streamText(id, after string) string {
	text := "HTTP/1.1 200 OK\r\n" + fakes.IDLine(id) + fakes.ReceiptLine + "Keep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, event := range eventsFor(id, after) {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	return text + lastChunk
}

// firstEventText returns the part of such a stream up to the end of its first event.
func firstEventText(id, after string) string {
	whole, events := streamText(id, after), eventsFor(id, after)
	return whole[:strings.Index(whole, events[0])+len(events[0])+len("\r\n")]
}

func interimText(id string) string {
	return "HTTP/1.1 103 Early Hints\r\n" + fakes.IDLine(id) + fakes.ReceiptLine + fakes.NotExecutedLine + "\r\n"
}

// isPossible reports whether an endpoint can do it to a request. It can go on with a stream that it
// has begun, or break it off.
func (action action) isPossible(arrival *arrival) bool {
	switch {
	case arrival.sending.request.method == http.MethodHead && (action.name == "breaks-body" || action.name == "refuses-twice"):
		return false
	case action.begins:
		return !arrival.begun && len(eventsFor(arrival.sending.request.id, arrival.after)) > 0
	case arrival.begun:
		return action.name == "answers" || action.name == "closes" || action.name == "resets"
	default:
		return !action.interim || !arrival.hinted
	}
}

// otherThan makes an answer one to another request.
func otherThan(text func(id, after string) string) func(id, after string) string {
	return func(_, after string) string { return text(unknownID, after) }
}

// part makes an answer end early.
func part(text func(id, after string) string, fraction float64) func(id, after string) string {
	return func(id, after string) string {
		whole := text(id, after)
		return whole[:int(fraction*float64(len(whole)))]
	}
}

// actions returns what endpoints can do with requests of a kind.
func actions(kind site.RequestKind) []action {
	answer := func(status int, lines string) func(id, after string) string {
		return func(id, _ string) string { return answerText(id, status, lines) }
	}
	none := func(_, _ string) string { return "" }
	success, refusal := answer(http.StatusOK, fakes.ReceiptLine), answer(http.StatusServiceUnavailable, fakes.NotExecutedLine)
	var actions []action
	if _, isStream := kind.(site.Stream); isStream {
		success = streamText
		actions = append(actions, action{name: "begins", text: firstEventText, begins: true})
	} else {
		actions = append(actions, action{name: "answers-without-length", text: textWithoutLength, status: http.StatusOK, closes: true})
	}
	return append(actions, []action{
		{name: "answers", text: success, status: http.StatusOK},
		{name: "refuses", text: refusal, refuses: true},
		{name: "misdirects", text: answer(http.StatusMisdirectedRequest, ""), refuses: true},
		{name: "refuses-twice", text: func(id, after string) string { return refusal(id, after) + refusal(id, after) }, refuses: true},
		{name: "hints", text: func(id, _ string) string { return interimText(id) }, interim: true},
		{name: "fails", text: answer(http.StatusInternalServerError, fakes.ReceiptLine), status: http.StatusInternalServerError},
		{name: "contradicts", text: answer(http.StatusServiceUnavailable, fakes.ReceiptLine+fakes.NotExecutedLine)},
		{name: "is-unavailable", text: answer(http.StatusServiceUnavailable, "")},
		{name: "answers-another", text: otherThan(success)},
		{name: "refuses-another", text: otherThan(refusal)},
		{name: "breaks-body", text: part(success, 0.9), closes: true},
		{name: "breaks-head", text: part(success, 0.3), closes: true},
		{name: "closes", text: none, closes: true},
		{name: "resets", text: none, resets: true},
	}...)
}

// answer writes an answer to the request that is due on a connection.
func (world *world) answer(conn *worldConn, arrival *arrival, action action) {
	sending := arrival.sending
	id := sending.request.id
	isDelivered := action.status == http.StatusOK && sending.inProgress() && !sending.left
	world.write(conn, arrival, action)
	if !isDelivered {
		return
	}
	world.settle()
	if sending.inProgress() || !arrival.isAnswerOf(sending) {
		world.report("the whole answer to %s was not delivered; its caller got %d", id, sending.answer.status())
	}
}

func (world *world) write(conn *worldConn, arrival *arrival, action action) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	id := arrival.sending.request.id
	text := action.text(id, arrival.after)
	if arrival.sending.request.method == http.MethodHead {
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		text = text[:min(len(head)+len("\r\n\r\n"), len(text))]
	}
	world.note(conn, "%s %s", action.name, id)
	if action.status != 0 || action.refuses {
		conn.answers = append(conn.answers, worldAnswer{id: id, text: text})
	}
	if arrival.begun {
		text = strings.TrimPrefix(text, firstEventText(id, arrival.after))
	}
	arrival.hinted = arrival.hinted || action.interim
	arrival.begun = arrival.begun || action.begins
	if !action.interim && !action.begins {
		conn.pending = conn.pending[1:]
		arrival.refused = action.refuses
		arrival.sending.failed = arrival.sending.failed || action.status != http.StatusOK && !action.refuses || action.name == "refuses-twice"
	}
	if action.status != 0 {
		arrival.status, arrival.body = action.status, bodyFor(id)
		if _, isStream := world.scenario.kind.(site.Stream); isStream && action.status == http.StatusOK {
			arrival.body = strings.Join(eventsFor(id, ""), "")
		}
		if arrival.sending.request.method == http.MethodHead {
			arrival.body = ""
		}
	}
	if text != "" {
		_, _ = conn.conn.Write([]byte(text))
	}
	switch {
	case action.resets:
		reset(conn.conn)
	case action.closes:
		_ = conn.conn.Close()
	}
}
