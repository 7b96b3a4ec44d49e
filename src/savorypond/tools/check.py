"""The program savorypond-check: checks service files before they are published."""

from pathlib import Path
from sys import stderr

from defopt import run as run_command
from msgspec import Struct
from msgspec.json import encode

from savorypond.exceptions import ServiceFileError
from savorypond.services.loader import load_services

EXIT_INVALID = 1
EXIT_USAGE = 2


class FileProblem(Struct, frozen=True, kw_only=True):
    """A problem in a service file, as in the JSON output."""

    path: str
    line: int
    field: str
    problem: str


def find_problems(paths: list[Path]) -> list[FileProblem]:
    """Return all problems in the service files at ``paths``."""
    try:
        load_services(paths)
    except ExceptionGroup as group:
        return [_describe(error) for error in group.exceptions]
    return []


def _describe(error: Exception) -> FileProblem:
    if not isinstance(error, ServiceFileError):
        raise error
    return FileProblem(
        path=error.path, line=error.line, field=error.field, problem=error.problem
    )


def check(*paths: Path, json: bool = False) -> int:
    """Check service files, each by itself and their names against each other.

    Prints one line for each problem, as path:line: field: problem. Exits with
    0 if all files are valid, 1 if any is not, 2 on wrong usage.

    :param paths: service files, or directories of .yaml and .yml files
    :param json: print the problems as one JSON list
    """
    if not paths:
        print("give at least one file or directory", file=stderr)
        return EXIT_USAGE
    problems = find_problems(list(paths))
    if json:
        print(encode(problems).decode())
    else:
        for problem in problems:
            location = f"{problem.path}:{problem.line}"
            print(f"{location}: {problem.field}: {problem.problem}")
    return EXIT_INVALID if problems else 0


def run() -> None:
    """Run the program with the arguments of the command line."""
    raise SystemExit(run_command(check))
