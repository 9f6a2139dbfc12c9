package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
	"samphirewell/internal/platform"
)

// Interval and size of the batches in the object store. One write per host every 10 s keeps 49 hosts below 5 writes per second.
const (
	ArchivePeriod   = 10 * time.Second
	ArchiveMaxBatch = 2000 // events
)

// Archiver copies the events of a ring to the object store, so that they remain readable after the host is lost.
type Archiver struct {
	ring        *Ring
	objects     platform.Objects
	prefix      string
	nextSeq     int // sequence number of the next event to write
	overwritten int // events that left the ring before they were written
}

// NewArchiver returns an archiver that writes objects named prefix/<first seq>.
func NewArchiver(ring *Ring, objects platform.Objects, prefix string) *Archiver {
	return &Archiver{ring: ring, objects: objects, prefix: prefix, nextSeq: 1}
}

// Flush writes the events since the last successful Flush, at most ArchiveMaxBatch of them, and returns how many it wrote. After an
// error the next Flush writes the same events again under the same name, so a write whose response was lost is harmless.
func (a *Archiver) Flush(ctx context.Context) (int, error) {
	page := a.ring.Page(a.nextSeq, ArchiveMaxBatch)
	if len(page.Events) == 0 {
		return 0, nil
	}
	a.overwritten += page.Events[0].Seq - a.nextSeq
	a.nextSeq = page.Events[0].Seq
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	for _, e := range page.Events {
		if err := enc.Encode(e); err != nil {
			return 0, errors.Wrap(err, "encode event")
		}
	}
	name := fmt.Sprintf("%s/%012d", a.prefix, a.nextSeq)
	if err := a.objects.Put(ctx, name, buf.Bytes()); err != nil {
		return 0, errors.Wrapf(err, "put %s", name)
	}
	a.nextSeq += len(page.Events)
	return len(page.Events), nil
}

// Lost returns how many events were overwritten in the ring before they could be written.
func (a *Archiver) Lost() int { return a.overwritten }

// ReadBatch decodes the events of one object.
func ReadBatch(data []byte) ([]api.Event, error) {
	var out []api.Event
	dec := json.NewDecoder(bytes.NewReader(data))
	for dec.More() {
		var e api.Event
		if err := dec.Decode(&e); err != nil {
			return out, errors.Wrap(err, "decode event batch")
		}
		out = append(out, e)
	}
	return out, nil
}
