"""HTTP client of the upstreams, which run the requests."""
