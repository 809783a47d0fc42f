"""The life cycle of requests, attempts, KV leases and endpoints, with no I/O and no wire format."""
