// Package auth authenticates the processes of one deployment to each other by a shared
// key, and operators by tokens.
//
// A request carries the time of its signature and an HMAC-SHA-256 of method, path, time
// and body. The key itself is never sent.
//
// # Usage
//
//	k := auth.NewKey(secret)
//	client := &http.Client{Transport: k.Transport(http.DefaultTransport)}
//	server := k.Require(handler)
package auth

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	headerTime = "Eel-Signed-At"
	headerMAC  = "Eel-Signature"
	// maxSkew is the maximum difference between the wall clocks of two VMs.
	maxSkew = 5 * time.Minute
	// maxSignedBytes is the maximum size of the body of a signed request.
	maxSignedBytes = 256 << 20
)

// Key is the key that the processes of a deployment share.
type Key struct {
	secret []byte
}

// NewKey returns the key for a secret.
func NewKey(secret string) *Key {
	return &Key{secret: []byte(secret)}
}

func (k *Key) mac(method, path, at string, body []byte) string {
	h := hmac.New(sha256.New, k.secret)
	sum := sha256.Sum256(body)
	fmt.Fprintf(h, "%s\n%s\n%s\n%x", method, path, at, sum)
	return hex.EncodeToString(h.Sum(nil))
}

// Transport returns a transport that signs each request.
func (k *Key) Transport(next http.RoundTripper) http.RoundTripper {
	return signer{k: k, next: next}
}

type signer struct {
	k    *Key
	next http.RoundTripper
}

// RoundTrip signs the request and sends it.
func (s signer) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		body = b
		if err := r.Body.Close(); err != nil {
			return nil, err
		}
	}
	c := r.Clone(r.Context())
	if body != nil {
		c.Body = io.NopCloser(bytes.NewReader(body))
		c.ContentLength = int64(len(body))
	}
	// These headers are not used by any process, and control traffic passes expensive links.
	c.Header["User-Agent"] = nil
	c.Header.Del("Accept")
	c.Header.Del("Twirp-Version")
	at := strconv.FormatInt(time.Now().Unix(), 10)
	c.Header.Set(headerTime, at)
	c.Header.Set(headerMAC, s.k.mac(r.Method, r.URL.RequestURI(), at, body))
	return s.next.RoundTrip(c)
}

// Require returns a handler that rejects requests that are not signed with the key.
func (k *Key) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSignedBytes))
		if err != nil {
			http.Error(w, "request body cannot be read: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := k.verifyRequest(r, body); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

func (k *Key) verifyRequest(r *http.Request, body []byte) error {
	at := r.Header.Get(headerTime)
	t, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return fmt.Errorf("header %s is missing or no number of seconds", headerTime)
	}
	if d := time.Since(time.Unix(t, 0)).Abs(); d > maxSkew {
		return fmt.Errorf("request was signed %s away from this VM's clock, more than %s", d, maxSkew)
	}
	want := k.mac(r.Method, r.URL.RequestURI(), at, body)
	if !hmac.Equal([]byte(want), []byte(r.Header.Get(headerMAC))) {
		return fmt.Errorf("signature does not match the deployment's key")
	}
	return nil
}

// HashToken returns the SHA-256 of a token in hexadecimal, as stored in the catalogue.
func HashToken(token string) string {
	s := sha256.Sum256([]byte(token))
	return hex.EncodeToString(s[:])
}

// TokenMatches reports whether a token has the given hash, in constant time.
func TokenMatches(token, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(hash)) == 1
}

// macBytes is the length of the truncated MAC at the start of a signed message.
const macBytes = 16

func (k *Key) shortMAC(b []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}

// NewMAC returns an HMAC-SHA-256 with the key.
func (k *Key) NewMAC() hash.Hash { return hmac.New(sha256.New, k.secret) }

// Sign returns the message with a MAC prepended, which requires the key.
func (k *Key) Sign(b []byte) []byte { return append(k.shortMAC(b), b...) }

// Verify returns the message without its MAC; it returns false if the MAC does not match.
func (k *Key) Verify(b []byte) ([]byte, bool) {
	if len(b) < macBytes || !hmac.Equal(b[:macBytes], k.shortMAC(b[macBytes:])) {
		return nil, false
	}
	return b[macBytes:], true
}
