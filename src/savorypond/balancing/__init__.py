"""What backend servers get: choice, limits, budgets, latencies, outliers."""
