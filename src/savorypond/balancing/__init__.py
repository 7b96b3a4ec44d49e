"""Load balancing: replica choice, limits, retry budgets, latencies and outliers."""
