"""Connects routing policies to the simulator by its line protocol."""
