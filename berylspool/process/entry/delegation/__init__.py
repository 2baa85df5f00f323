"""Division of wide requests among the entries of a zone."""
