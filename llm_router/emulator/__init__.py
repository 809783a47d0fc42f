"""Emulate what a router meets: endpoints, discovery, clients, network faults and failing system calls.

Tools and tests use it. The router itself imports nothing from here."""
