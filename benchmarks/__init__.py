"""Benchmarks: each prints ratios from one run and asserts nothing."""
