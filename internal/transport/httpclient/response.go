package httpclient

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Response is the response of a gateway.
type Response struct {
	Status int
	Body   []byte
	// Gateway is the address of the gateway that sent the response.
	Gateway string
}

// OK reports whether the status is a success (2xx).
func (r Response) OK() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// errorDoc is the body of an error response.
type errorDoc struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Faults  any    `json:"faults"`
	} `json:"error"`
}

// Message returns the status with the code, message and faults of the error body, or the
// status alone if the body holds no error.
func (r Response) Message() string {
	var doc errorDoc
	if json.Unmarshal(r.Body, &doc) != nil || doc.Error.Code == "" {
		return "status " + strconv.Itoa(r.Status)
	}
	text := strconv.Itoa(r.Status) + " " + doc.Error.Code + ": " + doc.Error.Message
	if doc.Error.Faults == nil {
		return text
	}
	faults, err := json.Marshal(doc.Error.Faults)
	if err != nil {
		return text
	}
	return text + " " + string(faults)
}
