// Trouble is the one shape of every error that leaves the system over HTTP.

package jsondoc

import (
	"encoding/json"

	"orchidward/internal/clock"
)

// ErrorBody is the body of an error response. Code names the error in one word for
// programs and Why says it for people; Retry, when above 0, is after how many
// milliseconds to try again.
type ErrorBody struct {
	Code       string       `json:"code"`
	Message    string       `json:"message"`
	Faults     any          `json:"faults,omitempty"`
	RetryAfter clock.Millis `json:"retryMs,omitempty"`
}

// JSON is the response body: an object with the single field "error".
func (t ErrorBody) JSON() []byte {
	text, err := json.Marshal(map[string]ErrorBody{"error": t})
	if err != nil {
		panic(err)
	}
	return text
}

// ErrorBody is the body for gathered faults.
func (f *FieldErrors) ErrorBody() []byte {
	code := "bad-request"
	if f.Status() == 422 {
		code = "unprocessable"
	}
	return ErrorBody{Code: code, Message: "the request has faults", Faults: f.List}.JSON()
}
