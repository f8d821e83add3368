// Package httpanswer rejects HTTP/1 responses that net/http returns although they are invalid. What is no valid response is
// no answer: its status says nothing, and its body may be delimited in another way than its sender means.
package httpanswer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
)

// InvalidError is returned for a response that is invalid.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "the answer is invalid HTTP: " + e.Reason }

const (
	// minStatus and maxStatus bound the valid status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// tokenSymbols are the characters of a field's name besides letters and digits (RFC 9110, section 5.6.2).
	tokenSymbols = "!#$%&'*+-.^_`|~"
	// maxInterimHeads bounds the interim heads before a response: http.Transport limits their bytes only one by one.
	maxInterimHeads = 16
)

// Check returns an error if the head of a response is invalid. The body of a valid one fails at its end if its trailer is
// invalid.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return &InvalidError{Reason: fmt.Sprintf("version %q", response.Proto)}
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &InvalidError{Reason: fmt.Sprintf("status %03d", response.StatusCode)}
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return &InvalidError{Reason: "it switches protocols, which no request asks for"}
	}
	if err := checkNames(response.Header); err != nil {
		return err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return nil
}

// checkNames returns an error if the name of a field is invalid.
func checkNames(header map[string][]string) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, isNoTokenCharacter) {
			return &InvalidError{Reason: fmt.Sprintf("a field named %q", name)}
		}
	}
	return nil
}

func isNoTokenCharacter(r rune) bool {
	isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	isDigit := r >= '0' && r <= '9'
	return !isLetter && !isDigit && !strings.ContainsRune(tokenSymbols, r)
}

// body is the body of a response whose trailer is checked.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if invalid := checkNames(b.response.Trailer); invalid != nil {
		return count, invalid
	}
	return count, err
}

// Transport is an http.RoundTripper that fails for invalid responses. It is safe for concurrent use.
type Transport struct{ transport *http.Transport }

// NewTransport returns a transport that checks the responses of another one.
func NewTransport(transport *http.Transport) *Transport { return &Transport{transport: transport} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		if interim++; interim > maxInterimHeads {
			return &InvalidError{Reason: "too many interim heads"}
		}
		return checkNames(header)
	}}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	unchecked := response.Body
	if err := Check(response); err != nil {
		_ = unchecked.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the kept connections that are not in use; http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
