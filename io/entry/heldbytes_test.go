package entry

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"hickorybend/core/buffer"
)

// readOf reads a body with a stated length.
func readOf(t testing.TB, body io.Reader, limit, stated int64) ([]byte, error) {
	t.Helper()
	held := &heldBytes{server: New(nil, nil), owner: buffer.Team{Name: "a"}, answer: true, end: func() {}}
	defer held.release()
	return held.read(body, limit, stated)
}

// TestBodyWithStatedLength checks that a body is read whole, whatever length was stated, and that no more
// room is taken than was stated.
func TestBodyWithStatedLength(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 1024, 8 << 10, 8<<10 + 1, 100_000, 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		for _, stated := range []int64{-1, 0, int64(size) / 2, int64(size), 2 * int64(size)} {
			for _, reader := range []io.Reader{bytes.NewReader(body), iotest.HalfReader(bytes.NewReader(body)), iotest.DataErrReader(bytes.NewReader(body))} {
				read, err := readOf(t, reader, 1<<20, stated)
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(read, body), "%d bytes, %d stated", size, stated)
				assert.Assert(t, stated != int64(size) || cap(read) <= max(minReadBytes, size+1), "%d bytes take %d", size, cap(read))
			}
			_, err := readOf(t, bytes.NewReader(body), int64(size)-1, stated)
			assert.Assert(t, size == 0 || err != nil, "%d bytes, %d stated, pass the limit", size, stated)
		}
	}
}

// TestSlowBodyIsCopiedAgainAndAgain guards against a node that spends its processor on copying bodies while
// they grow: a body of 1 MB took 4.8 MB, and 400 slow callers 70% of the node's work.
func TestSlowBodyIsCopiedAgainAndAgain(t *testing.T) {
	const size = 1 << 20
	body := make([]byte, size)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		held := &heldBytes{server: New(nil, nil), owner: buffer.Team{Name: "a"}, answer: true, end: func() {}}
		for b.Loop() {
			_, err := held.read(bytes.NewReader(body), size, size)
			assert.NilError(b, err)
		}
		held.release()
	})
	assert.Assert(t, result.AllocedBytesPerOp() <= 2*size+size/8, "%d bytes", result.AllocedBytesPerOp())
}
