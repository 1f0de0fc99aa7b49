package envobject

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// MaxDocumentBytes bounds a document, also after decompression.
const MaxDocumentBytes = 16 << 20

// minCompressBytes is the size from which a document is stored compressed. Smaller
// documents stay readable in the store.
const minCompressBytes = 128 << 10

func (o *Object) compress() error {
	if len(o.Document) < minCompressBytes {
		return nil
	}
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := io.WriteString(w, o.Document); err != nil {
		return fmt.Errorf("compress document: %w", err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("compress document: %w", err)
	}
	o.Document, o.Compressed = "", buffer.Bytes()
	return nil
}

func (o *Object) decompress() error {
	if len(o.Compressed) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(o.Compressed))
	if err != nil {
		return fmt.Errorf("decompress document: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return fmt.Errorf("decompress document: %w", err)
	}
	if len(text) > MaxDocumentBytes {
		return fmt.Errorf("document has more than %d bytes", MaxDocumentBytes)
	}
	o.Document, o.Compressed = string(text), nil
	return nil
}
