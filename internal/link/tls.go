package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// TLS is a Network with mutual TLS: each side presents a certificate that chains
// to one in CAFile. A server's certificate must name the IP number that is
// dialled. The files are PEM. When they change they are reloaded, for connections
// made from then on. Exported fields are set before the first use.
type TLS struct {
	Network  Network
	CertFile string
	KeyFile  string
	CAFile   string

	mu        sync.Mutex
	loaded    [3]fileStamp
	config    *tls.Config
	lastCheck time.Time
}

var _ Network = (*TLS)(nil)

// fileStamp identifies a version of a file, to detect changes.
type fileStamp struct {
	modified time.Time
	size     int64
}

// handshakeTimeout bounds a handshake, so that a silent peer can't keep a
// connection open. reloadPeriod is the time between two checks of the files.
const (
	handshakeTimeout = 5 * time.Second
	reloadPeriod     = time.Second
)

// Dial connects to addr and completes the handshake.
func (t *TLS) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	cfg, err := t.current()
	if err != nil {
		return nil, err
	}
	conn, err := t.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	cfg = cfg.Clone()
	cfg.ServerName = addr.Addr().String()
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Client(conn, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("link: TLS handshake with %v: %w", addr, err)
	}
	return secured, nil
}

// Listen opens a listener whose connections perform the handshake on their first
// read or write.
func (t *TLS) Listen(addr netip.AddrPort) (net.Listener, error) {
	if _, err := t.current(); err != nil {
		return nil, err
	}
	l, err := t.Network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &tlsListener{Listener: l, t: t}, nil
}

type tlsListener struct {
	net.Listener
	t *TLS
}

// Accept returns the next connection before its handshake, so that a slow peer
// does not delay the others.
func (l *tlsListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cfg, err := l.t.current()
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &serverConn{Conn: tls.Server(conn, cfg)}, nil
}

// serverConn performs the handshake on first use, within handshakeTimeout.
type serverConn struct {
	*tls.Conn
	once sync.Once
	err  error
}

func (c *serverConn) handshake() error {
	c.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		c.err = c.Conn.HandshakeContext(ctx)
	})
	return c.err
}

// Read reads after the handshake.
func (c *serverConn) Read(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes after the handshake.
func (c *serverConn) Write(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// current returns the configuration loaded from the files. If they have become
// unreadable, the last one stays in use.
func (t *TLS) current() (*tls.Config, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config != nil && time.Since(t.lastCheck) < reloadPeriod {
		return t.config, nil
	}
	t.lastCheck = time.Now()
	now, err := t.stampFiles()
	if err == nil && (t.config == nil || now != t.loaded) {
		var cfg *tls.Config
		if cfg, err = t.load(); err == nil {
			t.config, t.loaded = cfg, now
		}
	}
	if t.config == nil {
		return nil, err
	}
	return t.config, nil
}

func (t *TLS) stampFiles() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, name := range []string{t.CertFile, t.KeyFile, t.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return out, err
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (t *TLS) load() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("link: no certificate in " + t.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
