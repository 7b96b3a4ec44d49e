"""Configuration: bundles, how they are read, reviewed, spread and kept."""
