package httpserve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkSmallRequest measures a small request and its response on an open connection, which most requests are.
func BenchmarkSmallRequest(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New("127.0.0.1:0", Limits{}, benchHandler, log)
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		b.Fatal(err)
	}
	text := []byte("POST /q/00000000000000ee HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: secret-key\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\nhello")
	r := bufio.NewReader(conn)
	want := 0
	b.ReportAllocs()
	buf := make([]byte, 4096)
	for b.Loop() {
		_, _ = conn.Write(text)
		if want == 0 {
			n, _ := r.Read(buf)
			want = n
			continue
		}
		_, _ = io.ReadFull(r, buf[:want])
	}
}

var benchHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "2")
	_, _ = io.WriteString(w, "{}")
})
