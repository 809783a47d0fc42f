"""The transport: performs the reducer's effects on sockets, feeds back the events that result."""
