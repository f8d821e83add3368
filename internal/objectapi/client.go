// Package objectapi is the client of the platform's object API: objects with
// versions, conditional writes and listing by prefix, over HTTP and JSON.
package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"swiftbank.dev/swiftbank/internal/httpanswer"
	"swiftbank.dev/swiftbank/internal/tcpend"
)

// ErrConflict says that the object's version is not the expected one.
var ErrConflict = errors.New("object API: the object has another version")

// ErrNotFound says that the object does not exist.
var ErrNotFound = errors.New("object API: no such object")

const (
	// requestTimeout bounds each request, since the API may hang.
	requestTimeout = 5 * time.Second
	// idleTimeout is how long a connection is kept for further requests.
	idleTimeout = time.Minute
	// maxHeadBytes and maxAnswerBytes are the maximum size of an answer's head and body.
	maxHeadBytes   = 256 << 10
	maxAnswerBytes = 64 << 20
)

// Object is one stored object.
type Object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Machine is one line of the platform's lagging machine list.
type Machine struct {
	Name        string   `json:"name"`
	Service     string   `json:"service"`
	Kind        string   `json:"kind"`
	Zone        string   `json:"zone"`
	Address     string   `json:"address"`
	Models      []string `json:"models,omitempty"`
	Slots       int      `json:"slots"`
	CacheTokens int64    `json:"cacheTokens,omitempty"`
	Leaving     bool     `json:"leaving"`
}

// Client talks to one platform address.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for a base URL.
func New(address string) *Client {
	transport := &http.Transport{DialContext: tcpend.DialContext(&net.Dialer{}), MaxResponseHeaderBytes: maxHeadBytes, IdleConnTimeout: idleTimeout}
	return &Client{address: address, http: &http.Client{Timeout: requestTimeout, Transport: httpanswer.NewTransport(transport)}}
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.call(ctx, http.MethodGet, "/objects/"+key, nil, nil, &object)
	return object, err
}

// Put writes an object if its version is the expected one; zero means that it
// must not exist. An error other than ErrConflict leaves open whether the write
// took effect: read the object to find out.
func (c *Client) Put(ctx context.Context, key string, value any, expected uint64) (Object, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return Object{}, fmt.Errorf("object API: encode %s: %w", key, err)
	}
	headers := http.Header{"If-Match": []string{strconv.FormatUint(expected, 10)}}
	var object Object
	err = c.call(ctx, http.MethodPut, "/objects/"+key, headers, encoded, &object)
	return object, err
}

// List returns the objects whose key has the prefix and sorts after the given key.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var objects []Object
	err := c.call(ctx, http.MethodGet, "/objects?"+query.Encode(), nil, nil, &objects)
	return objects, err
}

// Watch is List that waits up to the given time for an object to appear.
func (c *Client) Watch(ctx context.Context, prefix, after string, limit int, wait time.Duration) ([]Object, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}, "wait": {wait.String()}}
	var objects []Object
	err := c.call(ctx, http.MethodGet, "/objects?"+query.Encode(), nil, nil, &objects)
	return objects, err
}

// Machines returns the machine list.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	err := c.call(ctx, http.MethodGet, "/machines", nil, nil, &machines)
	return machines, err
}

func (c *Client) call(ctx context.Context, method, path string, headers http.Header, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("object API: %w", err)
	}
	for name, values := range headers {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("object API: %w", err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxAnswerBytes)).Decode(into); err != nil {
			return fmt.Errorf("object API: decode answer: %w", err)
		}
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	default:
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return fmt.Errorf("object API: status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
}
