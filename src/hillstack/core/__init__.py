"""Decision logic of a node. It does no I/O; time and randomness are passed in."""
