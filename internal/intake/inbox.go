// Package intake accepts jobs and cancel requests from callers and reports the states of jobs. It runs on every host and needs only the table
// service: submissions and cancel requests are stored in the inbox, which the leader reads.
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

// partitionCount is the number of partitions of the inbox. A partition executes its transactions one after the other, so several partitions keep the
// rate of submissions up when each transaction is slow.
const partitionCount = 8

// cancelSuffix is the suffix of the key of a cancel request, after the id of the job.
const cancelSuffix = "/cancel"

// InboxPartitions returns the names of the inbox's partitions.
func InboxPartitions() []string {
	out := make([]string, partitionCount)
	for i := range out {
		out[i] = strconv.Itoa(i)
	}
	return out
}

// partitionOf returns the partition that holds the rows of a job.
func partitionOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % partitionCount))
}

func jobKey(id string) rowstore.Key {
	return rowstore.Key{Table: TableInbox, Partition: partitionOf(id), Key: id}
}

func cancelKey(id string) rowstore.Key {
	return rowstore.Key{Table: TableInbox, Partition: partitionOf(id), Key: id + cancelSuffix}
}

// Entry is a decoded row of the inbox.
type Entry struct {
	ID     string
	Cancel bool
	Ended  bool      // the row is the tombstone of an ended job; of Job only the queue is set
	Job    batch.Job // if not Cancel
}

// DecodeEntry decodes a row of the inbox.
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

// EndJob returns the transaction that replaces the submission of an ended job by a tombstone and deletes its cancel request. The tombstone prevents
// a late repetition of the submission from being accepted as a new job. An error means that the tombstone can't be encoded.
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
