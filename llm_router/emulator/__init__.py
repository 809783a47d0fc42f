"""Emulate a router's surroundings: endpoints, discovery, clients, network faults and failing system calls.

Tools and tests use this package. The router itself imports nothing from it."""
