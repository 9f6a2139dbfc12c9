// Package platform defines the interfaces to the platform's services (transactional table, object store and host list) and an HTTP client for them.
package platform

import (
	"context"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// ErrUnavailable means that the request had no effect: the service refused it, or no connection could be opened.
var ErrUnavailable = errors.New("platform service is not available")

// ErrUncertain means that no usable response arrived and a write may have taken effect. The caller must read before it writes again.
var ErrUncertain = errors.New("platform service did not answer; the request may have taken effect")

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("object not found")

// Table is the platform's transactional table. Get and Scan may return stale rows; Txn never decides on stale rows.
type Table interface {
	// Txn commits all writes if all conditions hold. A conflict is reported in the response, not as an error. Errors wrap ErrUnavailable or
	// ErrUncertain.
	Txn(ctx context.Context, req api.TxnRequest) (api.TxnResponse, error)
	// Get returns those rows of keys that exist.
	Get(ctx context.Context, keys ...string) (api.RowsResponse, error)
	// Scan returns at most limit rows whose keys have the prefix and are greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) (api.RowsResponse, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put replaces the whole object.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object. The error wraps ErrNotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
}

// HostList is the platform's list of hosts. Changes appear in it with a delay.
type HostList interface {
	// Hosts returns the list and the time to which it applies.
	Hosts(ctx context.Context) (api.HostListResponse, error)
}
