"""Benchmarks of throughput, latency, memory, scaling and steering."""
