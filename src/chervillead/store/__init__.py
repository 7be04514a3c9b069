"""The store that keeps what must last: its interface and uses of it."""
