package jsondoc

import (
	"encoding/json"
	"fmt"
	"net/http"

	"orchidward/internal/clock"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	// Code names the error in one word, for programs, and Message for people.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Faults has details, nil for none.
	Faults any `json:"faults,omitempty"`
	// RetryAfter is how long to wait before trying again, 0 when that is of no use.
	RetryAfter clock.Millis `json:"retryMs,omitempty"`
}

// The codes of faulty requests.
const (
	codeBadRequest    = "bad-request"
	codeUnprocessable = "unprocessable"
)

// errorDocument is the JSON of an error response.
type errorDocument struct {
	Error ErrorBody `json:"error"`
}

// JSON is the response body: an object with the single field "error".
func (b ErrorBody) JSON() []byte {
	text, err := json.Marshal(errorDocument{Error: b})
	if err != nil {
		panic(fmt.Sprintf("jsondoc: an error body must always encode: %v", err))
	}
	return text
}

// ErrorBody is the response body for the faults.
func (f *FieldErrors) ErrorBody() []byte {
	code := codeBadRequest
	if f.Status() == http.StatusUnprocessableEntity {
		code = codeUnprocessable
	}
	return ErrorBody{Code: code, Message: "the request has faults", Faults: f.List}.JSON()
}
