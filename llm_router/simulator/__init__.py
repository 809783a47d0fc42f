"""The simulator's wire, to and from the routing policy's messages."""
