"""Stand-ins for what a conductor meets: failing system calls, clocks, endpoints, discovery and clients.

Tools and tests use it. The conductor itself imports nothing from here."""
