"""Stand-ins and fakes for tests and benchmarks."""
