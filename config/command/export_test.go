package command

// SetMaxEmbedded sets the maximum number of audit records in a document, so that
// tests need few changes to archive records.
func (w *Writer) SetMaxEmbedded(n int) { w.maxEmbedded = n }
