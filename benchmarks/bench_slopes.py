"""Prints the marginal costs from which the capacity page is calculated.

Times are processor time in microseconds, memory is in bytes. Membership, owners and
configuration have benchmarks of their own, which this one calls.
Run with ``python -m benchmarks.bench_slopes``.
"""

from benchmarks.slopes_imports import print_imports


def main() -> None:
    """Print all costs; imports come first, while few modules are loaded."""
    print_imports()
    from benchmarks.bench_config import main as print_config
    from benchmarks.bench_members import print_membership, print_owners
    from benchmarks.slopes_query import print_queries, print_tickets
    from benchmarks.slopes_state import print_active, print_sweep
    from benchmarks.slopes_wire import print_control, print_http, print_links

    print()
    print_membership()
    print_owners()
    print("\nConfiguration (services across)")
    print_config()
    print_active()
    print_sweep()
    print_queries()
    print_tickets()
    print_http()
    print_links()
    print_control()


if __name__ == "__main__":
    main()
