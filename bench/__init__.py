"""Load generators and benchmarks, and the fleet of processes they run on."""
