"""Endpoint lists from files in Envoy's xDS v3 JSON: clusters and their load assignments."""
