"""The routing policy: it receives events and returns actions, without any I/O.

All times are integer nanoseconds."""
