"""Reads endpoint lists from files with clusters and load assignments in Envoy's xDS v3 JSON format."""
