// Trouble is the one shape of every error that leaves the system over HTTP.

package jsondoc

import (
	"encoding/json"

	"orchidward/internal/clock"
)

// Trouble is the body of an error response. Code names the error in one word for
// programs and Why says it for people; Retry, when above 0, is after how many
// milliseconds to try again.
type Trouble struct {
	Code   string       `json:"code"`
	Why    string       `json:"message"`
	Faults any          `json:"faults,omitempty"`
	Retry  clock.Millis `json:"retryMs,omitempty"`
}

// JSON is the response body: an object with the single field "error".
func (t Trouble) JSON() []byte {
	text, err := json.Marshal(map[string]Trouble{"error": t})
	if err != nil {
		panic(err)
	}
	return text
}

// Bad is the body for gathered faults.
func (f *Faults) Bad() []byte {
	code := "bad-request"
	if f.Status() == 422 {
		code = "unprocessable"
	}
	return Trouble{Code: code, Why: "the request has faults", Faults: f.List}.JSON()
}
