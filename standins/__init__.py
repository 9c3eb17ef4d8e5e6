"""Stand-ins for the platform, used by the demo, the tests and the benchmarks."""
