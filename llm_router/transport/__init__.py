"""The transport performs the reducer's effects on sockets and passes the resulting events to the reducer."""
