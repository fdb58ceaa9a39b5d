package target

import (
	"errors"
	"reflect"
)

// Patch turns one declaration of a service into another. The pieces in order
// make up the classes of the result.
type Patch struct {
	// From is the digest of the declaration that the patch applies to.
	From   Digest
	Pieces []Piece
}

// Piece is a run of Count classes of the old declaration, from index Start on,
// followed by new classes.
type Piece struct {
	Start, Count int
	Classes      []Class
}

// ErrPatchMismatch means that a patch does not fit the declaration that it is
// applied to.
var ErrPatchMismatch = errors.New("the patch refers to classes that the service does not have")

// NewPatch returns the patch from one declaration of a service to another, and
// the number of classes that it contains in full; digest is that of the old
// declaration.
func NewPatch(digest Digest, from, to *Service) (*Patch, int) {
	index := make(map[string]int, len(from.Classes))
	for i := range from.Classes {
		index[from.Classes[i].Name] = i
	}
	p, included := &Patch{From: digest}, 0
	for i := range to.Classes {
		c := &to.Classes[i]
		old, ok := index[c.Name]
		if ok && c.equal(&from.Classes[old]) {
			p.appendCopied(old)
			continue
		}
		p.appendNew(c)
		included++
	}
	return p, included
}

// appendCopied appends class i of the old declaration.
func (p *Patch) appendCopied(i int) {
	if n := len(p.Pieces); n > 0 {
		if last := &p.Pieces[n-1]; len(last.Classes) == 0 && last.Start+last.Count == i {
			last.Count++
			return
		}
	}
	p.Pieces = append(p.Pieces, Piece{Start: i, Count: 1})
}

// appendNew appends a class that the old declaration does not have or has in
// another form.
func (p *Patch) appendNew(c *Class) {
	if len(p.Pieces) == 0 {
		p.Pieces = append(p.Pieces, Piece{})
	}
	last := &p.Pieces[len(p.Pieces)-1]
	last.Classes = append(last.Classes, *c)
}

// Apply returns the declaration that results from the patch. It returns
// ErrPatchMismatch if the patch refers to classes that the old declaration does
// not have.
func (p *Patch) Apply(from *Service) (*Service, error) {
	to := &Service{Name: from.Name}
	for i := range p.Pieces {
		piece := &p.Pieces[i]
		if piece.Start < 0 || piece.Count < 0 || piece.Start > len(from.Classes) || piece.Count > len(from.Classes)-piece.Start {
			return nil, ErrPatchMismatch
		}
		to.Classes = append(to.Classes, from.Classes[piece.Start:piece.Start+piece.Count]...)
		to.Classes = append(to.Classes, piece.Classes...)
	}
	return to, nil
}

// equal reports whether two classes have the same declaration.
func (c *Class) equal(d *Class) bool { return reflect.DeepEqual(c, d) }
