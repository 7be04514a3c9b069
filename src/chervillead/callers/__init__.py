"""HTTP front end for callers."""
