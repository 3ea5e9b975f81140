package server

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/intake"
	"github.com/acaciaglade/acaciaglade/pkg/settings"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1.
func writeCertificate(t *testing.T) (settings.TLS, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	s := settings.TLS{Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem")}
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(s.Certificate, certificate, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(s.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: rawKey}), 0o600); err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certificate)
	return s, pool
}

// TestShutdownWaitsForRunningRequest shuts a TLS server down while a request runs.
func TestShutdownWaitsForRunningRequest(t *testing.T) {
	tlsSettings, pool := writeCertificate(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	draining := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		stop()
		<-draining
		_, _ = io.WriteString(w, "whole")
	})
	stopped := make(chan error, 1)
	go func() {
		stopped <- Serve(ctx, listener, &settings.Common{TLS: tlsSettings, StopTimeout: time.Minute}, intake.New(intake.Limits{}, prometheus.NewRegistry()), handler, func(context.Context) error {
			close(draining)
			return nil
		})
	}()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("https://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "whole" {
		t.Fatalf("got %q, %v", body, err)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
