"""Errors of the tasks of a benchmark, which curio's TaskGroup only logs."""

from curio import TaskGroup


def raise_first_error(group: TaskGroup) -> None:
    """Raise the error of a task of ``group``, so that no failure is measured."""
    for error in group.exceptions:
        if error is not None:
            raise error
