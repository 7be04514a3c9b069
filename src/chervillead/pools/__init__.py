"""Ownership of pools: who orders their workers, and what an owner keeps."""
