"""The simulator's line protocol, to and from the routing policy's messages."""
