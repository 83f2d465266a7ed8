package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
)

const (
	formatVersion = 1
	macBytes      = 16
	maxVMIDBytes  = 255
	// maxTicketBytes limits the encoded form of a ticket, which is external input.
	maxTicketBytes = 512
)

// claims holds the signed fields of a ticket.
type claims struct {
	vmID        string
	incarnation int64
	counter     uint64
	// expiry is the offset from the start of the incarnation, on its monotonic
	// clock.
	expiry time.Duration
}

// encode returns the text form: version, VM id, incarnation, counter, expiry
// and a truncated HMAC-SHA256 over all of them.
func (c claims) encode(key []byte) string {
	b := make([]byte, 0, 2+len(c.vmID)+3*binary.MaxVarintLen64+macBytes)
	b = append(b, formatVersion, byte(len(c.vmID)))
	b = append(b, c.vmID...)
	b = binary.AppendVarint(b, c.incarnation)
	b = binary.AppendUvarint(b, c.counter)
	b = binary.AppendVarint(b, int64(c.expiry))
	b = append(b, computeMAC(key, b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

func computeMAC(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}

// decode parses a ticket and returns its claims, the signed bytes and the MAC, or
// an *InvalidError. It does not verify the MAC.
func decode(ticket string) (c claims, payload, mac []byte, err error) {
	if len(ticket) > maxTicketBytes {
		return c, nil, nil, &InvalidError{Reason: "too long"}
	}
	// Strict decoding rejects other encodings of the same ticket.
	raw, err := base64.RawURLEncoding.Strict().DecodeString(ticket)
	if err != nil {
		return c, nil, nil, &InvalidError{Reason: "not base64url"}
	}
	if len(raw) < 2+macBytes || raw[0] != formatVersion {
		return c, nil, nil, &InvalidError{Reason: "unknown format"}
	}
	payload, mac = raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !c.parse(payload[1:]) {
		return c, nil, nil, &InvalidError{Reason: "malformed"}
	}
	return c, payload, mac, nil
}

func (c *claims) parse(b []byte) bool {
	n := int(b[0])
	b = b[1:]
	if n == 0 || len(b) < n {
		return false
	}
	c.vmID, b = string(b[:n]), b[n:]
	var size int
	if c.incarnation, size = binary.Varint(b); size <= 0 {
		return false
	}
	b = b[size:]
	if c.counter, size = binary.Uvarint(b); size <= 0 {
		return false
	}
	b = b[size:]
	expiry, size := binary.Varint(b)
	c.expiry = time.Duration(expiry)
	return size > 0 && size == len(b)
}

// Origin returns the VM and incarnation that issued a ticket, as the ticket
// claims, or an *InvalidError if the ticket is malformed. Only the issuer can
// verify its authenticity.
func Origin(ticket string) (vmID string, incarnation int64, err error) {
	c, _, _, err := decode(ticket)
	return c.vmID, c.incarnation, err
}
