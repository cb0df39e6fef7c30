package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/peerwire"
)

// Incarnation is the random value that an entry's process draws when it starts.
type Incarnation [16]byte

// ID holds the contents of a ticket. They can be trusted only after the owner has
// verified the ticket's text.
type ID struct {
	// Owner is the ID, in the VM list, of the entry that minted the ticket.
	Owner string
	// Incarnation identifies the owner's process.
	Incarnation Incarnation
	// Sequence numbers the tickets of the owner's process, from 1.
	Sequence uint64
	// Customer is the name of the only customer that may use the ticket.
	Customer string
	// MintedAt is when the ticket was minted, on the owner's monotonic clock.
	MintedAt time.Duration
}

// maxTextBytes is the length above which a ticket's text is refused unparsed.
const maxTextBytes = 1024

// encode returns the text of a ticket: the Base64 of its protocol buffer followed by
// its authentication code.
func encode(id ID, key []byte) string {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(&peerwire.Ticket{
		Owner: id.Owner, Incarnation: id.Incarnation[:], Sequence: id.Sequence,
		Customer: id.Customer, MintedUs: id.MintedAt.Microseconds(),
	})
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(payload, computeMAC(payload, key)...))
}

// Parse reads a ticket's text without verifying it, so that any entry can find
// the owner. It returns an error if the text is malformed.
func Parse(text string) (ID, error) {
	payload, _, err := split(text)
	if err != nil {
		return ID{}, err
	}
	return decode(payload)
}

// verify reads a ticket's text and reports whether it is well-formed and its
// authentication code is right.
func verify(text string, key []byte) (ID, bool) {
	payload, mac, err := split(text)
	if err != nil || !hmac.Equal(mac, computeMAC(payload, key)) {
		return ID{}, false
	}
	id, err := decode(payload)
	return id, err == nil
}

// split decodes a ticket's text into its payload and its authentication code.
func split(text string) (payload, mac []byte, err error) {
	if len(text) > maxTextBytes {
		return nil, nil, invalid(nil)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return nil, nil, invalid(err)
	}
	if len(raw) <= sha256.Size {
		return nil, nil, invalid(nil)
	}
	macStart := len(raw) - sha256.Size
	return raw[:macStart], raw[macStart:], nil
}

func decode(payload []byte) (ID, error) {
	var m peerwire.Ticket
	if err := proto.Unmarshal(payload, &m); err != nil {
		return ID{}, invalid(err)
	}
	id := ID{Owner: m.GetOwner(), Sequence: m.GetSequence(), Customer: m.GetCustomer(), MintedAt: time.Duration(m.GetMintedUs()) * time.Microsecond}
	if copy(id.Incarnation[:], m.GetIncarnation()) != len(id.Incarnation) || len(m.GetIncarnation()) != len(id.Incarnation) {
		return ID{}, invalid(nil)
	}
	return id, nil
}

func invalid(cause error) error {
	return fault.Wrap(cause, fault.Request, "Baobab-Ticket", "is not a ticket", "send the text of a ticket unchanged")
}

// computeMAC returns the HMAC-SHA256 (RFC 2104) of a payload.
func computeMAC(payload, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)
}

// Fingerprint is a hash that identifies the request that a ticket was spent on.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the SHA-256 hash of the parts of a request. The length of
// each part is hashed too, so that moving bytes between parts changes the hash.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}

// tag returns the first 8 bytes of a fingerprint. A ticket's slot stores only
// these, to save memory once the answer is dropped.
func (f Fingerprint) tag() uint64 { return binary.BigEndian.Uint64(f[:]) }
