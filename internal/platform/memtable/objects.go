package memtable

import (
	"bytes"
	"context"
	"sync"

	"github.com/pkg/errors"

	"samphirewell/internal/clock"
	"samphirewell/internal/platform"
)

// Objects is an object store in memory.
type Objects struct {
	*FaultInjector
	objectsMu sync.Mutex
	objects   map[string][]byte
}

var _ platform.Objects = (*Objects)(nil)

// NewObjects returns an empty object store. The seed determines which requests the faults with a rate affect.
func NewObjects(c clock.Clock, seed uint64) *Objects {
	return &Objects{FaultInjector: newFaultInjector(c, seed), objects: map[string][]byte{}}
}

// Put replaces the whole object.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	inj, err := o.begin(ctx, true)
	if err != nil {
		return err
	}
	o.objectsMu.Lock()
	o.objects[name] = bytes.Clone(data)
	o.objectsMu.Unlock()
	return o.end(inj)
}

// Get returns the object. The error wraps platform.ErrNotFound if the object does not exist.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	inj, err := o.begin(ctx, false)
	if err != nil {
		return nil, err
	}
	if err := o.end(inj); err != nil {
		return nil, err
	}
	o.objectsMu.Lock()
	defer o.objectsMu.Unlock()
	data, ok := o.objects[name]
	if !ok {
		return nil, errors.Wrap(platform.ErrNotFound, name)
	}
	return bytes.Clone(data), nil
}
