package control

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/zeebo/errs"
)

func (t TLS) enabled() bool { return t != TLS{} }

// load reads the files. The configuration is used by clients and servers: each presents its certificate and
// verifies the other's against the CA. A client also checks that the certificate covers the address that it
// dialed, so certificates need the process's IP address as subject alternative name.
func (t TLS) load() (*tls.Config, error) {
	if !t.enabled() {
		return nil, nil
	}
	if t.CertFile == "" || t.KeyFile == "" || t.CAFile == "" {
		return nil, ErrConfig.New("mutual TLS needs certificate, key and CA files; set all three or none")
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, ErrConfig.Wrap(err)
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, ErrConfig.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, ErrConfig.Wrap(errs.New("%s holds no CA certificate", t.CAFile))
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
