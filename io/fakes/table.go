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

// Table stands in for the platform's transactional table service. It serves the
// subset of the DynamoDB protocol that the nodes use: TransactWriteItems, GetItem
// and Query on the partition key. Fields without a JSON tag have the names of
// that protocol.
type Table struct {
	mutex  sync.Mutex
	items  map[string]item
	faults tableFaults
	reads  atomic.Int64
	writes atomic.Int64
}

// item is an item of the table, by names of its attributes.
type item map[string]attribute

// attribute is an attribute value: a string, number, binary or list.
type attribute struct {
	S string      `json:"S,omitempty"`
	N string      `json:"N,omitempty"`
	B []byte      `json:"B,omitempty"`
	L []attribute `json:"L,omitempty"`
}

// transactAction is the put, delete or condition check of a transaction's item.
type transactAction struct {
	TableName                 string
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type transactItem struct {
	Put            *transactAction
	Delete         *transactAction
	ConditionCheck *transactAction
}

type transactRequest struct {
	TransactItems []transactItem
}

// queryRequest is a Query, which has the partition in its attribute values, or a
// GetItem, which has the key.
type queryRequest struct {
	ExpressionAttributeValues item
	Key                       item
}

type cancelReason struct {
	Code string
}

type tableError struct {
	Type                string         `json:"__type"`
	Message             string         `json:"message"`
	CancellationReasons []cancelReason `json:",omitempty"`
}

type queryResponse struct {
	Items []item
	Count int
}

type getResponse struct {
	Item item `json:",omitempty"`
}

// The condition expressions that the nodes send; no others are supported.
const (
	conditionAbsent  = "attribute_not_exists(version)"
	conditionVersion = "version = :base"
	errorPrefix      = "com.amazonaws.dynamodb.v20120810#" // of the protocol's error types
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: map[string]item{}}
}

// SetFault replaces the table service's fault.
func (table *Table) SetFault(fault TableFault) { table.faults.set(fault) }

// Writes returns the number of transactions received, except during an outage.
func (table *Table) Writes() int64 { return table.writes.Load() }

// Reads returns the number of reads received, except during an outage.
func (table *Table) Reads() int64 { return table.reads.Load() }

// ServeHTTP serves one call of the protocol.
func (table *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(table.faults.delay())
	if table.faults.outage() {
		writeTableError(w, http.StatusServiceUnavailable, tableError{Type: errorPrefix + "InternalServerError", Message: "outage"})
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
		writeTableError(w, http.StatusBadRequest, tableError{Type: errorPrefix + "UnknownOperationException", Message: operation})
	}
}

func (table *Table) transact(w http.ResponseWriter, body []byte) {
	var transactrequest transactRequest
	if err := json.Unmarshal(body, &transactrequest); err != nil {
		writeTableError(w, http.StatusBadRequest, tableError{Type: errorPrefix + "ValidationException", Message: err.Error()})
		return
	}
	table.writes.Add(1)
	commitoutcome := table.faults.nextCommit()
	if commitoutcome.delay > 0 {
		time.AfterFunc(commitoutcome.delay, func() { table.commit(transactrequest) })
		panic(http.ErrAbortHandler)
	}
	reasons := table.commit(transactrequest)
	if !commitoutcome.answered {
		panic(http.ErrAbortHandler)
	}
	if reasons != nil {
		writeTableError(w, http.StatusBadRequest, tableError{
			Type: errorPrefix + "TransactionCanceledException", Message: "cancelled", CancellationReasons: reasons,
		})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// commit applies all actions of a transaction. If a condition fails it applies
// none and returns each action's cancellation reason.
func (table *Table) commit(transactrequest transactRequest) []cancelReason {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	reasons := make([]cancelReason, len(transactrequest.TransactItems))
	failed := false
	for i, transactitem := range transactrequest.TransactItems {
		reasons[i].Code = "None"
		if !table.conditionHolds(transactitem.any()) {
			reasons[i].Code = "ConditionalCheckFailed"
			failed = true
		}
	}
	if failed {
		return reasons
	}
	for _, transactitem := range transactrequest.TransactItems {
		switch {
		case transactitem.Put != nil:
			table.items[primaryKey(transactitem.Put.Item)] = transactitem.Put.Item
		case transactitem.Delete != nil:
			delete(table.items, primaryKey(transactitem.Delete.Key))
		}
	}
	return nil
}

// any returns whichever action the item has: its put, delete or condition check.
func (transactitem transactItem) any() *transactAction {
	switch {
	case transactitem.Put != nil:
		return transactitem.Put
	case transactitem.Delete != nil:
		return transactitem.Delete
	default:
		return transactitem.ConditionCheck
	}
}

// conditionHolds evaluates the condition of an action on the stored item. An
// unsupported condition fails.
func (table *Table) conditionHolds(action *transactAction) bool {
	key := action.Key
	if key == nil {
		key = action.Item
	}
	stored, exists := table.items[primaryKey(key)]
	switch action.ConditionExpression {
	case conditionAbsent:
		return !exists
	case conditionVersion:
		return exists && stored["version"].N == action.ExpressionAttributeValues[":base"].N
	default:
		return false
	}
}

// primaryKey joins the partition key and the sort key.
func primaryKey(key item) string { return key["part"].S + "\x00" + key["sort"].S }

func (table *Table) get(w http.ResponseWriter, body []byte) {
	var queryrequest queryRequest
	if err := json.Unmarshal(body, &queryrequest); err != nil {
		writeTableError(w, http.StatusBadRequest, tableError{Type: errorPrefix + "ValidationException", Message: err.Error()})
		return
	}
	table.reads.Add(1)
	table.mutex.Lock()
	found := table.items[primaryKey(queryrequest.Key)]
	table.mutex.Unlock()
	writeJSON(w, http.StatusOK, getResponse{Item: found})
}

func (table *Table) query(w http.ResponseWriter, body []byte) {
	var queryrequest queryRequest
	if err := json.Unmarshal(body, &queryrequest); err != nil {
		writeTableError(w, http.StatusBadRequest, tableError{Type: errorPrefix + "ValidationException", Message: err.Error()})
		return
	}
	table.reads.Add(1)
	partition := queryrequest.ExpressionAttributeValues[":part"].S
	queryresponse := queryResponse{Items: table.partitionItems(partition)}
	queryresponse.Count = len(queryresponse.Items)
	writeJSON(w, http.StatusOK, queryresponse)
}

// partitionItems returns the items of a partition in the order of their sort keys.
func (table *Table) partitionItems(partition string) []item {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	found := []item{}
	for _, candidate := range table.items {
		if candidate["part"].S == partition {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a["sort"].S, b["sort"].S) })
	return found
}

func writeTableError(w http.ResponseWriter, status int, tableerror tableError) {
	writeJSON(w, status, tableerror)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
