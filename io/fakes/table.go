package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Table stands in for the platform's transactional table service. It answers
// the part of the DynamoDB protocol that the system uses: TransactWriteItems,
// GetItem and Query on the partition key.
type Table struct {
	mutex  sync.Mutex
	items  map[string]item
	faults tableFaults
	reads  atomic.Int64
	writes atomic.Int64
}

type item map[string]attribute

type attribute struct {
	S string      `json:"S,omitempty"`
	N string      `json:"N,omitempty"`
	B []byte      `json:"B,omitempty"`
	L []attribute `json:"L,omitempty"`
}

type tableStep struct {
	TableName                 string
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type transactItem struct {
	Put            *tableStep
	Delete         *tableStep
	ConditionCheck *tableStep
}

type transactRequest struct {
	TransactItems []transactItem
}

type queryRequest struct {
	ExpressionAttributeValues item
	Key                       item
}

type cancelReason struct {
	Code string
}

type tableFailure struct {
	Type                string         `json:"__type"`
	Message             string         `json:"message"`
	CancellationReasons []cancelReason `json:",omitempty"`
}

type queryAnswer struct {
	Items []item
	Count int
}

type getAnswer struct {
	Item item `json:",omitempty"`
}

const (
	conditionAbsent  = "attribute_not_exists(version)"
	conditionVersion = "version = :base"
	errorPrefix      = "com.amazonaws.dynamodb.v20120810#"
)

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{items: map[string]item{}}
}

// SetFault changes what is wrong with the table service.
func (table *Table) SetFault(fault TableFault) { table.faults.set(fault) }

// Writes counts the transactions that were asked for.
func (table *Table) Writes() int64 { return table.writes.Load() }

// Reads counts the reads that were asked for.
func (table *Table) Reads() int64 { return table.reads.Load() }

// ServeHTTP answers one call of the protocol.
func (table *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(table.faults.delay())
	if table.faults.outage() {
		failTable(w, http.StatusServiceUnavailable, tableFailure{Type: errorPrefix + "InternalServerError", Message: "outage"})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	switch operation {
	case "TransactWriteItems":
		table.transact(w, body)
	case "GetItem":
		table.get(w, body)
	case "Query":
		table.query(w, body)
	default:
		failTable(w, http.StatusBadRequest, tableFailure{Type: errorPrefix + "UnknownOperationException", Message: operation})
	}
}

func (table *Table) transact(w http.ResponseWriter, body []byte) {
	var request transactRequest
	if err := json.Unmarshal(body, &request); err != nil {
		failTable(w, http.StatusBadRequest, tableFailure{Type: errorPrefix + "ValidationException", Message: err.Error()})
		return
	}
	table.writes.Add(1)
	fate := table.faults.fate()
	if fate.late > 0 {
		time.AfterFunc(fate.late, func() { table.commit(request) })
		panic(http.ErrAbortHandler)
	}
	reasons := table.commit(request)
	if !fate.answered {
		panic(http.ErrAbortHandler)
	}
	if reasons != nil {
		failTable(w, http.StatusBadRequest, tableFailure{
			Type: errorPrefix + "TransactionCanceledException", Message: "cancelled", CancellationReasons: reasons,
		})
		return
	}
	answerJSON(w, http.StatusOK, struct{}{})
}

// commit applies all steps, or gives the reason of each and applies none.
func (table *Table) commit(request transactRequest) []cancelReason {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	reasons := make([]cancelReason, len(request.TransactItems))
	failed := false
	for i, step := range request.TransactItems {
		reasons[i].Code = "None"
		if !table.holds(step.any()) {
			reasons[i].Code = "ConditionalCheckFailed"
			failed = true
		}
	}
	if failed {
		return reasons
	}
	for _, step := range request.TransactItems {
		switch {
		case step.Put != nil:
			table.items[place(step.Put.Item)] = step.Put.Item
		case step.Delete != nil:
			delete(table.items, place(step.Delete.Key))
		}
	}
	return nil
}

func (transactitem transactItem) any() *tableStep {
	switch {
	case transactitem.Put != nil:
		return transactitem.Put
	case transactitem.Delete != nil:
		return transactitem.Delete
	default:
		return transactitem.ConditionCheck
	}
}

func (table *Table) holds(step *tableStep) bool {
	key := step.Key
	if key == nil {
		key = step.Item
	}
	stored, exists := table.items[place(key)]
	switch step.ConditionExpression {
	case conditionAbsent:
		return !exists
	case conditionVersion:
		return exists && stored["version"].N == step.ExpressionAttributeValues[":base"].N
	default:
		return false
	}
}

func place(key item) string { return key["part"].S + "\x00" + key["sort"].S }

func (table *Table) get(w http.ResponseWriter, body []byte) {
	var request queryRequest
	if err := json.Unmarshal(body, &request); err != nil {
		failTable(w, http.StatusBadRequest, tableFailure{Type: errorPrefix + "ValidationException", Message: err.Error()})
		return
	}
	table.reads.Add(1)
	table.mutex.Lock()
	found := table.items[place(request.Key)]
	table.mutex.Unlock()
	answerJSON(w, http.StatusOK, getAnswer{Item: found})
}

func (table *Table) query(w http.ResponseWriter, body []byte) {
	var request queryRequest
	if err := json.Unmarshal(body, &request); err != nil {
		failTable(w, http.StatusBadRequest, tableFailure{Type: errorPrefix + "ValidationException", Message: err.Error()})
		return
	}
	table.reads.Add(1)
	part := request.ExpressionAttributeValues[":part"].S
	answer := queryAnswer{Items: table.within(part)}
	answer.Count = len(answer.Items)
	answerJSON(w, http.StatusOK, answer)
}

func (table *Table) within(part string) []item {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	found := []item{}
	for _, candidate := range table.items {
		if candidate["part"].S == part {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a["sort"].S, b["sort"].S) })
	return found
}

func failTable(w http.ResponseWriter, status int, failure tableFailure) {
	answerJSON(w, status, failure)
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
