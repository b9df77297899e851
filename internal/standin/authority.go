package standin

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// Authority is a certificate authority for tests, in place of the users' own. It
// writes certificates and keys as PEM files to Dir, its own certificate to
// CAFile. The keys are not encrypted.
type Authority struct {
	Dir string

	cert       *x509.Certificate
	key        ed25519.PrivateKey
	lastSerial int64
}

// NewAuthority returns an authority and writes its own certificate to dir.
func NewAuthority(dir string) (*Authority, error) {
	a := &Authority{Dir: dir}
	template := a.template("ca")
	template.IsCA, template.BasicConstraintsValid = true, true
	var err error
	a.cert, a.key, err = a.writeCertificate("ca", template, nil)
	return a, err
}

// CAFile returns the path of the authority's certificate.
func (a *Authority) CAFile() string { return a.file("ca.pem") }

// Issue writes a certificate for name that is valid at addrs, and its key.
func (a *Authority) Issue(name string, addrs ...netip.Addr) (certFile, keyFile string, err error) {
	template := a.template(name)
	for _, addr := range addrs {
		template.IPAddresses = append(template.IPAddresses, addr.AsSlice())
	}
	_, _, err = a.writeCertificate(name, template, a.cert)
	return a.file(name + ".pem"), a.file(name + ".key"), err
}

func (a *Authority) file(name string) string { return filepath.Join(a.Dir, name) }

// template returns an unsigned certificate whose validity covers every time in a
// synctest bubble.
func (a *Authority) template(name string) *x509.Certificate {
	a.lastSerial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
	}
}

// writeCertificate generates a key, signs template and writes both. The authority
// signs it; without a parent it is self-signed.
func (a *Authority) writeCertificate(name string, template, parent *x509.Certificate) (*x509.Certificate, ed25519.PrivateKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	signer := a.key
	if parent == nil {
		parent, signer = template, private
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	if err := writePEM(a.file(name+".pem"), "CERTIFICATE", der); err != nil {
		return nil, nil, err
	}
	if err := writePEM(a.file(name+".key"), "PRIVATE KEY", key); err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, private, err
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
