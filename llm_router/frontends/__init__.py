"""The front ends: each translates a client protocol to the lifecycle's events, and its effects to answers."""
