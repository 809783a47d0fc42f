"""Benchmarks that print ratios from one run and check no limits."""
