package jsondoc

import (
	"encoding/json"
	"fmt"
	"net/http"

	"orchidward/internal/clock"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	// Code identifies the error to programs, and Message describes it to people.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Faults has details, nil for none.
	Faults any `json:"faults,omitempty"`
	// RetryAfter is how long to wait before a retry, 0 if a retry would not help.
	RetryAfter clock.Millis `json:"retryMs,omitempty"`
}

// The error codes of invalid requests.
const (
	codeBadRequest    = "bad-request"
	codeUnprocessable = "unprocessable"
)

// errorDocument is the JSON of an error response.
type errorDocument struct {
	Error ErrorBody `json:"error"`
}

// JSON returns the response body: an object with the single field "error".
func (b ErrorBody) JSON() []byte {
	text, err := json.Marshal(errorDocument{Error: b})
	if err != nil {
		panic(fmt.Sprintf("jsondoc: encoding an error body: %v", err))
	}
	return text
}

// ErrorBody returns the response body for the errors.
func (f *FieldErrors) ErrorBody() []byte {
	code := codeBadRequest
	if f.Status() == http.StatusUnprocessableEntity {
		code = codeUnprocessable
	}
	return ErrorBody{Code: code, Message: "the request has faults", Faults: f.List}.JSON()
}
