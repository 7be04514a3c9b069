"""HTTP to upstreams, which run the requests."""
