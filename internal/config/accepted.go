package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// ErrCorrupt means that a version read from the table or offered by a peer does not match its hash or does not contain valid lists.
var ErrCorrupt = errors.New("accepted configuration is corrupt")

// Accepted is one accepted version of the lists. It is immutable.
type Accepted struct {
	Version   int    // from 1; each accepted change raises it by one
	Hash      string // SHA-256 of Text, hexadecimal
	Author    string // operator who made the change
	RequestID string // id of the request that made the change
	Text      string // the lists as the operator wrote them, with comments
	Lists     api.Lists
}

// HashText returns the content hash of a text of lists, in hexadecimal digits.
func HashText(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Row returns the form in which the version is stored and passed between hosts.
func (a *Accepted) Row() api.ConfigRow {
	return api.ConfigRow{Version: a.Version, Hash: a.Hash, Author: a.Author, RequestID: a.RequestID, Text: a.Text}
}

// AcceptedFromRow checks a version from the table or from a peer and parses its lists. The error is ErrCorrupt, wrapped.
func AcceptedFromRow(row api.ConfigRow) (*Accepted, error) {
	if row.Version < 1 {
		return nil, errors.Wrapf(ErrCorrupt, "version %d is below 1", row.Version)
	}
	if HashText(row.Text) != row.Hash {
		return nil, errors.Wrapf(ErrCorrupt, "version %d does not match its hash", row.Version)
	}
	lists, err := ParseLists("accepted lists", []byte(row.Text))
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "version %d: %v", row.Version, err)
	}
	return &Accepted{Version: row.Version, Hash: row.Hash, Author: row.Author, RequestID: row.RequestID, Text: row.Text, Lists: lists}, nil
}

func decodeRow(value string) (api.ConfigRow, error) {
	var row api.ConfigRow
	if err := json.Unmarshal([]byte(value), &row); err != nil {
		return row, errors.Wrapf(ErrCorrupt, "stored row: %v", err)
	}
	return row, nil
}
