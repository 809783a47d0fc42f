"""Run a randomized fault soak over a fleet of real router processes."""
