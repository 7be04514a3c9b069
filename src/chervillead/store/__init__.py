"""Interface of the replicated log store, a batching writer and a follower."""
