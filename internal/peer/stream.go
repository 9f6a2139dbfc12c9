package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// stream frames JSON-RPC messages with their length as a varint, compresses them and counts the bytes on the wire. Unlike the
// codecs of the library it checks the size of a message before it reads it. All messages of a direction share one compression
// state, because heartbeats repeat their field names and ids and then compress to a fraction of their size.
type stream struct {
	conn            net.Conn
	stats           *Stats
	maxMessageBytes int // longest message that is read

	compressedIn countingReader
	decompressed *bufio.Reader // reads the decompressed bytes of compressedIn

	compressedOut bytes.Buffer  // compressed bytes of one message; the connection serializes writes
	compressor    *flate.Writer // created by the first message, since it takes several hundred KB
}

func newStream(conn net.Conn, stats *Stats) *stream {
	s := &stream{conn: conn, stats: stats, maxMessageBytes: MaxMessageBytes}
	s.compressedIn.r = bufio.NewReader(conn)
	s.decompressed = bufio.NewReaderSize(flate.NewReader(&s.compressedIn), readBufferBytes)
	return s
}

// readBufferBytes is small, because the decompressor returns one message at a time.
const readBufferBytes = 512

// countingReader counts the compressed bytes that the decompressor reads.
type countingReader struct {
	r     *bufio.Reader
	bytes int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.bytes += n
	return n, err
}

func (c *countingReader) ReadByte() (byte, error) {
	b, err := c.r.ReadByte()
	if err == nil {
		c.bytes++
	}
	return b, err
}

// envelope is the part of a message that names its method.
type envelope struct {
	Method string `json:"method"`
}

// WriteObject writes one message. The write deadline keeps a peer that reads nothing from blocking all callers.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return ErrTooLarge
	}
	s.compressedOut.Reset()
	if err := s.compress(data); err != nil {
		return err
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(s.compressedOut.Bytes()); err != nil {
		_ = s.conn.Close() // the peer cannot resynchronize after a partial frame
		return err
	}
	s.stats.sent.add(methodOf(data), s.compressedOut.Len())
	return nil
}

func (s *stream) compress(data []byte) error {
	if s.compressor == nil {
		s.compressor, _ = flate.NewWriter(&s.compressedOut, flate.BestSpeed) // fails only for an invalid level
	}
	if _, err := s.compressor.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	if _, err := s.compressor.Write(data); err != nil {
		return err
	}
	return s.compressor.Flush()
}

// ReadObject reads one message.
func (s *stream) ReadObject(v any) error {
	size, err := binary.ReadUvarint(s.decompressed)
	if err != nil {
		return err
	}
	if size > uint64(s.maxMessageBytes) {
		return errors.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	data, err := s.readMessage(int(size))
	if err != nil {
		return err
	}
	s.stats.received.add(methodOf(data), s.compressedIn.bytes)
	s.compressedIn.bytes = 0
	return json.Unmarshal(data, v)
}

// readMessage reads the bytes of a message. The memory for a long one is taken as it arrives, and it has to arrive in time.
func (s *stream) readMessage(size int) ([]byte, error) {
	if size <= shortMessageBytes {
		data := make([]byte, size)
		_, err := io.ReadFull(s.decompressed, data)
		return data, err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return nil, err
	}
	var data bytes.Buffer
	if _, err := io.CopyN(&data, s.decompressed, int64(size)); err != nil {
		return nil, err
	}
	return data.Bytes(), s.conn.SetReadDeadline(time.Time{})
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

var _ jsonrpc2.ObjectStream = (*stream)(nil)

// methodOf returns the name under which a message is counted: its method, or responseCounter.
func methodOf(data []byte) string {
	var e envelope
	if json.Unmarshal(data, &e) != nil || e.Method == "" {
		return responseCounter
	}
	return e.Method
}

// responseCounter is the name of the counter of all responses, which carry no method.
const responseCounter = "response"

// Stats counts messages and bytes per method, and all responses together.
type Stats struct{ sent, received counters }

// NewStats returns counters at zero.
func NewStats() *Stats { return &Stats{} }

// Traffic is a number of messages and their compressed bytes, frame headers included.
type Traffic struct{ Messages, Bytes int64 }

// Sent returns the traffic sent with the method; the method "response" stands for all responses.
func (s *Stats) Sent(method string) Traffic { return s.sent.get(method) }

// Received returns the traffic received with the method; the method "response" stands for all responses.
func (s *Stats) Received(method string) Traffic { return s.received.get(method) }

// TotalSent returns the traffic sent with all methods, responses included.
func (s *Stats) TotalSent() Traffic { return s.sent.total() }

// Vars returns the counters for expvar.Publish.
func (s *Stats) Vars() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("sent_messages", &s.sent.messages)
	m.Set("sent_bytes", &s.sent.bytes)
	m.Set("received_messages", &s.received.messages)
	m.Set("received_bytes", &s.received.bytes)
	return m
}

type counters struct{ messages, bytes expvar.Map }

// countedMethods are the methods with their own counter; all others share the counter "other". This bounds the number of counters,
// because a peer can send arbitrary method names.
var countedMethods = map[string]bool{
	MethodHello: true, MethodPing: true, MethodKeyClaim: true, MethodKeyFinish: true, MethodKeyLookup: true,
	MethodKeyTombstone: true, "config.get": true, "jobs.summary": true, "timeline.get": true, responseCounter: true,
}

func (c *counters) add(method string, bytes int) {
	if !countedMethods[method] {
		method = "other"
	}
	c.messages.Add(method, 1)
	c.bytes.Add(method, int64(bytes))
}

func (c *counters) get(method string) Traffic {
	return Traffic{Messages: intOf(c.messages.Get(method)), Bytes: intOf(c.bytes.Get(method))}
}

func (c *counters) total() Traffic {
	var t Traffic
	c.messages.Do(func(kv expvar.KeyValue) { t.Messages += intOf(kv.Value) })
	c.bytes.Do(func(kv expvar.KeyValue) { t.Bytes += intOf(kv.Value) })
	return t
}

func intOf(v expvar.Var) int64 {
	if i, ok := v.(*expvar.Int); ok {
		return i.Value()
	}
	return 0
}
