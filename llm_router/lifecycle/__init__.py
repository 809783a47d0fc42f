"""The lifecycle of requests, attempts, KV leases and endpoints, without I/O and wire formats."""
