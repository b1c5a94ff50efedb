package httpcheck_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"aspenyard.example/httpcheck"
)

// serve answers the requests to a port by a function, one on each connection, and returns a client for it and its URL.
func serve(t *testing.T, answer func(conn *net.TCPConn, head *http.Request)) (*http.Client, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if head, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), head)
				}
			}()
		}
	}()
	return &http.Client{Transport: &httpcheck.Transport{Base: &http.Transport{}}, Timeout: 30 * time.Second}, "http://" + listener.Addr().String()
}

// Guards against taking for a response what has a status out of range, another version, or a field name with a blank or a control
// byte, and against refusing what is valid.
func TestHeads(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true, "HTTP/1.0 200 OK\r\n": true, "HTTP/1.1 599 Odd\r\n": true, "HTTP/1.1 200 OK\r\nx-!#$%&'*+.^_`|~9: a\r\n": true,
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n": true,
		"HTTP/1.1 000 Odd\r\n": false, "HTTP/1.1 099 Odd\r\n": false, "HTTP/1.1 600 Odd\r\n": false, "HTTP/1.1 999 Odd\r\n": false, "HTTP/1.1 +20 Odd\r\n": false,
		"HTTP/1.1 101 Switching Protocols\r\n": false, "HTTP/2.0 200 OK\r\n": false, "HTTP/0.9 200 OK\r\n": false,
		"HTTP/1.1 200 OK\r\nX Blank: a\r\n": false, "HTTP/1.1 200 OK\r\nX-Blank : a\r\n": false, "HTTP/1.1 200 OK\r\nX-\x01: a\r\n": false, "HTTP/1.1 200 OK\r\nX-\x7f: a\r\n": false, "HTTP/1.1 200 OK\r\nX\t: a\r\n": false,
	} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			is := is.New(t)
			client, url := serve(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, head+"Content-Length: 2\r\nConnection: close\r\n\r\nok")
			})
			response, err := client.Get(url)
			is.Equal(err == nil, valid)
			if err == nil {
				_ = response.Body.Close()
			}
		})
	}
}

// Guards against taking for whole a part of a response without a length whose connection is reset while the request is written.
func TestAnEarlyResponseThatIsReset(t *testing.T) {
	is := is.New(t)
	client, url := serve(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		time.Sleep(5 * time.Millisecond) // the reset must not overtake the part
		_ = conn.SetLinger(0)
	})
	for range 20 {
		response, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, 20<<20)))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		is.True(err != nil)
	}
}

// Guards against refusing a whole response without a length, early or not.
func TestAWholeResponseWithoutALength(t *testing.T) {
	for name, early := range map[string]bool{"early": true, "after the request": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, url := serve(t, func(conn *net.TCPConn, head *http.Request) {
				if !early {
					_, _ = io.Copy(io.Discard, head.Body)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole")
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, head.Body)
			})
			response, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", 4<<20)))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "whole")
		})
	}
}

// Guards against an invalid head that is reported as another failure.
func TestTheErrorOfAnInvalidHead(t *testing.T) {
	is := is.New(t)
	err := httpcheck.CheckHead(&http.Response{ProtoMajor: 1, StatusCode: 0, Status: "000"})
	is.True(errors.Is(err, httpcheck.ErrHead))
	is.NoErr(httpcheck.CheckHead(&http.Response{ProtoMajor: 1, StatusCode: 204}))
}
