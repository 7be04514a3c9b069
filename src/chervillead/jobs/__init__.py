"""Job scheduling decisions as plain functions over typed state, without I/O."""
