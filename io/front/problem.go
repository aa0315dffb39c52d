package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// The outcomes, as sent to callers.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

const headerOutcome = "X-Outcome"

// problem is an error response to a caller. In the body, kind is the error's type,
// and param names the parameter that is at fault.
type problem struct {
	status       int
	kind         string
	code         string
	message      string
	param        string
	outcome      Outcome
	provenForKey bool // whether the outcome holds for the idempotency key, not only for this attempt
	retryAfter   time.Duration
}

// adjustOutcome replaces the outcome not-run by unknown where it holds for this
// attempt only: an earlier attempt with the same idempotency key, through any
// node, may have run. Only the row of the key can tell; a problem that is based
// on that row has provenForKey set.
func (problem *problem) adjustOutcome(key string) {
	if key == "" || problem.provenForKey || problem.outcome != OutcomeNotRun {
		return
	}
	problem.outcome = OutcomeUnknown
	problem.message += " This attempt was not run; whether an earlier one with this key ran is not known: ask again with the same key."
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome,omitempty"`
}

const (
	kindRequest = "invalid_request_error"
	kindServer  = "server_error"
	kindLimit   = "rate_limit_error"
)

func badRequest(code, param, message string) *problem {
	return &problem{
		status: http.StatusBadRequest, kind: kindRequest, code: code,
		param: param, message: message, outcome: OutcomeNotRun,
	}
}

func notRun(code, message string, retryAfter time.Duration) *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindServer, code: code,
		message: message, outcome: OutcomeNotRun, retryAfter: retryAfter,
	}
}

func rateLimited(code, message string, retryAfter time.Duration) *problem {
	return &problem{
		status: http.StatusTooManyRequests, kind: kindLimit, code: code,
		message: message, outcome: OutcomeNotRun, retryAfter: retryAfter,
	}
}

func inDoubt(message string, retryAfter time.Duration) *problem {
	return &problem{
		status: http.StatusBadGateway, kind: kindServer, code: "outcome_unknown",
		message: message, outcome: OutcomeUnknown, retryAfter: retryAfter,
	}
}

func incompleteResponse(message string) *problem {
	return &problem{
		status: http.StatusBadGateway, kind: kindServer, code: "answer_incomplete",
		message: message, outcome: OutcomeUnknown, retryAfter: time.Second,
	}
}

func (problem *problem) body() []byte {
	fields := errorFields{Message: problem.message, Type: problem.kind, Code: problem.code, Outcome: problem.outcome}
	if problem.param != "" {
		fields.Param = &problem.param
	}
	body, err := json.Marshal(errorBody{Error: fields})
	if err != nil {
		panic(err)
	}
	return body
}

func (problem *problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerOutcome, string(problem.outcome))
	if problem.retryAfter > 0 {
		seconds := int(math.Ceil(problem.retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(problem.status)
	_, _ = w.Write(problem.body())
}
