"""Frontends. Each frontend translates between one client protocol and the lifecycle's events and effects."""
