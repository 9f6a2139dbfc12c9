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

// TableInbox holds submitted jobs, cancel requests and cancel markers.
const TableInbox = "inbox"

// partitionCount is the number of partitions of the inbox. A partition executes its transactions one after the other. On a store that is slowed 60 times each
// takes 0.24 s, and the partitions together carry 130 of them a second; the largest deployment submits 30 jobs a second. Rows that were stored with another
// number of partitions are found by MisplacedRows.
const partitionCount = 32

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

// markedJob returns the id of the job in the key of a cancel marker; false for other keys.
func markedJob(key string) (id string, ok bool) {
	id, _, ok = strings.Cut(key, markerInfix)
	return id, ok
}

// Entry is a decoded row of the inbox.
type Entry struct {
	ID     string
	Cancel bool
	Marker bool      // the row is the cancel marker of a job that is not stored
	Ended  bool      // the row is the tombstone of an ended job; of Job only the queue is set
	Job    batch.Job // if not Cancel or Marker
}

// DecodeEntry decodes a row of the inbox.
func DecodeEntry(r rowstore.Row) (Entry, error) {
	if id, ok := strings.CutSuffix(r.Key.Key, cancelSuffix); ok {
		return Entry{ID: id, Cancel: true}, nil
	}
	if id, ok := markedJob(r.Key.Key); ok {
		return Entry{ID: id, Marker: true}, nil
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

// EndedJob identifies a job that has ended.
type EndedJob struct{ ID, Queue string }

// jobsPerCleanup bounds the jobs of a transaction: each replaces a row and deletes another one.
const jobsPerCleanup = rowstore.MaxTxRows / 2

// EndJobs returns transactions that do for all jobs what EndJob does for one: few, because each is in one partition and may take long.
func EndJobs(jobs []EndedJob) ([]rowstore.Tx, error) {
	open := map[string]int{} // index of the transaction of a partition that has room
	var out []rowstore.Tx
	for _, j := range jobs {
		tx, err := EndJob(j.ID, j.Queue)
		if err != nil {
			return nil, err
		}
		partition := partitionOf(j.ID)
		i, ok := open[partition]
		if !ok || len(out[i].Puts) == jobsPerCleanup {
			i = len(out)
			open[partition] = i
			out = append(out, rowstore.Tx{})
		}
		out[i].Puts, out[i].Removes = append(out[i].Puts, tx.Puts...), append(out[i].Removes, tx.Removes...)
	}
	return out, nil
}

// Move is the copy of a row into the partition that it belongs to, and the deletion of the original. The copy comes first, so that the row is never missing;
// it has no effect if the row exists there already.
type Move struct{ Copy, Remove rowstore.Tx }

// MisplacedRows returns moves for the rows that an earlier version has stored in other partitions.
func MisplacedRows(rows []rowstore.Row) []Move {
	var out []Move
	for _, r := range rows {
		key := r.Key
		id, _, _ := strings.Cut(key.Key, "/")
		key.Partition = partitionOf(id)
		if key != r.Key {
			out = append(out, Move{rowstore.Tx{Conditions: []rowstore.Condition{{Key: key}}, Puts: []rowstore.Row{{Key: key, Value: r.Value}}},
				rowstore.Tx{Removes: []rowstore.Key{r.Key}}})
		}
	}
	return out
}

// DeleteJob returns the transaction that deletes a job's submission and cancel request from the inbox.
func DeleteJob(id string) rowstore.Tx {
	return rowstore.Tx{Removes: []rowstore.Key{jobKey(id), cancelKey(id)}}
}
