"""HTTP front end that accepts, runs and answers the requests of callers."""
