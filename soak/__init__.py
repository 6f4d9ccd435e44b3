"""A randomized soak test that injects faults into real processes."""
