package control

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// writeTestCerts writes a CA certificate and a certificate for 127.0.0.1 that the CA signed.
func writeTestCerts(c *qt.C, name string) TLS {
	dir := filepath.Join(c.TempDir(), name)
	c.Assert(os.MkdirAll(dir, 0o700), qt.IsNil)
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	ca := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	c.Assert(err, qt.IsNil)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	t := TLS{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca")}
	for file, block := range map[string]*pem.Block{
		t.CertFile: {Type: "CERTIFICATE", Bytes: leafDER},
		t.KeyFile:  {Type: "PRIVATE KEY", Bytes: keyDER},
		t.CAFile:   {Type: "CERTIFICATE", Bytes: caDER},
	} {
		c.Assert(os.WriteFile(file, pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	return t
}

// Guards against a server that accepts a client without a certificate from the common CA, and against a client that
// accepts a server with a certificate from another CA.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	ours, foreign := writeTestCerts(c, "ours"), writeTestCerts(c, "foreign")
	h := &fakeHandler{}
	s, cl := start(c, Config{TLS: ours, DialTimeout: time.Second}, "127.0.0.1:0", h)
	got, err := cl.Status(context.Background(), s.Addr(), &StatusRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, &fakeStatus)
	for _, other := range []TLS{
		{},
		foreign,
		{CertFile: foreign.CertFile, KeyFile: foreign.KeyFile, CAFile: ours.CAFile},
		{CertFile: ours.CertFile, KeyFile: ours.KeyFile, CAFile: foreign.CAFile},
	} {
		cl, err := NewClient(Config{TLS: other, CallTimeout: 2 * time.Second})
		c.Assert(err, qt.IsNil)
		_, err = cl.ForwardTicket(context.Background(), s.Addr(), &ForwardTicketRequest{RemainingMS: 1000})
		c.Assert(err, qt.IsNotNil)
		_ = cl.Close()
	}
	c.Assert(h.runs.Load(), qt.Equals, int64(0))
	_, err = NewClient(Config{TLS: TLS{CertFile: ours.CertFile}})
	c.Assert(ErrConfig.Has(err), qt.IsTrue)
}
