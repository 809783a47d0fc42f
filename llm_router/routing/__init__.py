"""The routing policy: events in, actions out, no I/O; all times are integer nanoseconds."""
