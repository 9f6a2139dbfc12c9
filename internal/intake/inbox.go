// Package intake accepts jobs from callers, shows their states and takes cancel requests. It runs on every host and needs
// only the table service: what callers hand in lies in the inbox, from which the leader takes it.
package intake

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"samphirewell/internal/batch"
	"samphirewell/internal/rowstore"
)

// TableInbox holds submitted jobs and cancel requests.
const TableInbox = "inbox"

// inboxParts is the number of parts of the inbox. A part carries one transaction after the other: several parts keep
// submissions going when each takes long.
const inboxParts = 8

// cancelSuffix ends the key of a cancel request.
const cancelSuffix = "/cancel"

// InboxPartitions returns the names of the inbox's partitions.
func InboxPartitions() []string {
	out := make([]string, inboxParts)
	for i := range out {
		out[i] = strconv.Itoa(i)
	}
	return out
}

func partOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % inboxParts))
}

func jobKey(id string) rowstore.Key {
	return rowstore.Key{Table: TableInbox, Partition: partOf(id), Key: id}
}

func cancelKey(id string) rowstore.Key {
	return rowstore.Key{Table: TableInbox, Partition: partOf(id), Key: id + cancelSuffix}
}

// Entry is a decoded row of the inbox.
type Entry struct {
	ID     string
	Cancel bool
	Ended  bool      // the job has ended; only its queue is left
	Job    batch.Job // if not Cancel
}

// DecodeEntry reads a row of the inbox.
func DecodeEntry(r rowstore.Row) (Entry, error) {
	if id, ok := strings.CutSuffix(r.Key.Key, cancelSuffix); ok {
		return Entry{ID: id, Cancel: true}, nil
	}
	e := Entry{ID: r.Key.Key}
	if err := json.Unmarshal(r.Value, &e.Job); err != nil {
		return e, errors.Wrap(err, "submission")
	}
	e.Ended = e.Job.ID == ""
	return e, nil
}

// EndJob is the transaction that replaces an ended job by a tombstone. The row stays, so that a late repetition of the submission isn't a
// new job. The error says that the tombstone can't be encoded.
func EndJob(id, queue string) (rowstore.Tx, error) {
	value, err := json.Marshal(batch.Job{Queue: batch.Queue{Name: queue}})
	if err != nil {
		return rowstore.Tx{}, errors.WithStack(err)
	}
	return rowstore.Tx{Puts: []rowstore.Row{{Key: jobKey(id), Value: value}}, Removes: []rowstore.Key{cancelKey(id)}}, nil
}

// DeleteJob returns the transaction that deletes a job's submission and cancel request from the inbox.
func DeleteJob(id string) rowstore.Tx {
	return rowstore.Tx{Removes: []rowstore.Key{jobKey(id), cancelKey(id)}}
}
