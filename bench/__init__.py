"""Benchmarks of berylspool; see docs/BENCHMARKS.md."""
