package document

import (
	"sort"

	"github.com/wisteriacrank/wisteriacrank/pkg/inicheck"
)

// Fault is one error of a document with its position and the accepted values.
type Fault = inicheck.Fault

// defaultFileName is the file name in faults of a text without a file.
const defaultFileName = "document"

// Parse parses a document. The error is an inicheck.Faults with every fault.
func Parse(text string) (*Document, error) {
	doc, faults := Check(defaultFileName, text)
	if len(faults) > 0 {
		return nil, inicheck.Faults(faults)
	}
	return doc, nil
}

// Check parses a document and returns every fault. The document is nil if
// there is a fault.
func Check(file, text string) (*Document, []Fault) {
	checker := inicheck.New(file)
	r := newReader(checker)
	for _, section := range checker.Read(text) {
		r.readSection(section)
	}
	r.checkPresence()
	r.checkReferences()
	r.checkRanks()
	r.checkLinks()
	r.checkBlocks()
	if faults := checker.Faults(); len(faults) > 0 {
		return nil, faults
	}
	sort.SliceStable(r.doc.Ranks, func(i, j int) bool {
		return r.doc.Ranks[i].Priority < r.doc.Ranks[j].Priority
	})
	return r.doc, nil
}
