package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

const (
	// DefaultTimeout bounds one request when ClientOptions has no timeout.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes bounds a response body; a larger one is treated as a lost response.
	maxResponseBytes = 64 << 20
	// maxIdleConns is the number of idle connections to the platform that are kept open, enough for the concurrent requests of one host.
	maxIdleConns = 16
	// idleConnTimeout closes connections to a platform that has moved or no longer responds. It exceeds the intervals of the regular calls.
	idleConnTimeout = 90 * time.Second
)

// ErrRejected means that the platform refused the request as malformed; it had no effect.
var ErrRejected = errors.New("platform service rejected the request")

// DialFunc opens a connection. Tests replace it to simulate network failures.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	Timeout     time.Duration // bound for one request; 0 means DefaultTimeout
	DialContext DialFunc      // nil means the dialer of package net
}

// Client calls the platform over HTTP and is safe for concurrent use. It implements Table and HostList; its method Objects returns the object store.
// Its errors wrap ErrUnavailable, ErrUncertain, ErrNotFound or ErrRejected.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var (
	_ Table    = (*Client)(nil)
	_ Objects  = objectsClient{}
	_ HostList = (*Client)(nil)
)

// dialError marks a failure to open a connection, so that no byte of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// NewClient returns a client for the platform at baseURL, for example http://127.0.0.1:8080.
func NewClient(baseURL string, opts ClientOptions) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.DialContext == nil {
		opts.DialContext = (&net.Dialer{}).DialContext
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := opts.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		timeout: opts.Timeout,
		http:    &http.Client{Transport: transport},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Txn commits all writes of req if all conditions hold.
func (c *Client) Txn(ctx context.Context, req api.TxnRequest) (api.TxnResponse, error) {
	var resp api.TxnResponse
	// The schema requires arrays; a nil slice would be sent as null.
	if req.Conditions == nil {
		req.Conditions = []api.TableCondition{}
	}
	if req.Writes == nil {
		req.Writes = []api.TableWrite{}
	}
	err := c.post(ctx, PathTxn, req, &resp)
	return resp, err
}

// Get returns those rows of keys that exist; they may be stale.
func (c *Client) Get(ctx context.Context, keys ...string) (api.RowsResponse, error) {
	var resp api.RowsResponse
	if keys == nil {
		keys = []string{}
	}
	err := c.post(ctx, PathGet, api.GetRequest{Keys: keys}, &resp)
	return resp, err
}

// Scan returns at most limit rows whose keys have the prefix and are greater than after, in key order; they may be stale.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (api.RowsResponse, error) {
	var resp api.RowsResponse
	err := c.post(ctx, PathScan, api.ScanRequest{Prefix: prefix, After: after, Limit: limit}, &resp)
	return resp, err
}

// Hosts returns the platform's host list.
func (c *Client) Hosts(ctx context.Context) (api.HostListResponse, error) {
	var resp api.HostListResponse
	data, err := c.do(ctx, http.MethodGet, PathHosts, nil)
	if err != nil {
		return resp, err
	}
	return resp, decode(data, &resp)
}

// Objects returns the object store of the platform.
func (c *Client) Objects() Objects { return objectsClient{c} }

// objectsClient is separate from Client because both Table and Objects have a method Get.
type objectsClient struct{ c *Client }

// Put replaces the whole object.
func (o objectsClient) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.c.do(ctx, http.MethodPut, objectPath(name), data)
	return err
}

// Get returns the object. The error wraps ErrNotFound if the object does not exist.
func (o objectsClient) Get(ctx context.Context, name string) ([]byte, error) {
	return o.c.do(ctx, http.MethodGet, objectPath(name), nil)
}

func objectPath(name string) string { return PathObjects + url.PathEscape(name) }

func (c *Client) post(ctx context.Context, path string, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(ErrRejected, err.Error())
	}
	data, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	return decode(data, resp)
}

func decode(data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrapf(ErrUncertain, "malformed answer: %v", err)
	}
	return nil
}

// do sends one request and returns the body of a 2xx response.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(ErrRejected, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrUncertain, "read answer: %v", err)
	}
	if len(data) > maxResponseBytes {
		return nil, errors.Wrap(ErrUncertain, "answer is too large")
	}
	return data, statusError(resp)
}

func transportError(err error) error {
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUncertain, err.Error())
}

func statusError(resp *http.Response) error {
	switch {
	case resp.StatusCode/100 == 2:
		return nil
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNoEffect) == "true":
		return errors.Wrap(ErrUnavailable, resp.Status)
	case resp.StatusCode == http.StatusNotFound:
		return errors.Wrap(ErrNotFound, resp.Status)
	case resp.StatusCode == http.StatusBadRequest:
		return errors.Wrap(ErrRejected, resp.Status)
	}
	return errors.Wrap(ErrUncertain, resp.Status)
}
