"""Pool ownership: which host controls a pool, and the state that it keeps."""
