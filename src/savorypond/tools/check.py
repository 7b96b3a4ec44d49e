"""The program that checks service files before they are published."""

from pathlib import Path
from sys import stderr

from defopt import run as run_command
from msgspec import Struct
from msgspec.json import encode

from savorypond.exceptions import ServiceFileError
from savorypond.services.loader import load_services

EXIT_BROKEN = 1
EXIT_USAGE = 2


class FileProblem(Struct, frozen=True, kw_only=True):
    """One problem as the JSON output gives it."""

    path: str
    line: int
    field: str
    problem: str


def find_problems(paths: list[Path]) -> list[FileProblem]:
    """Return all that is wrong with the service files at ``paths``."""
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
    0 where all is well, 1 where a file breaks a rule, 2 on wrong usage.

    :param paths: files, and directories whose .yaml and .yml files are meant
    :param json: print the problems as one JSON list
    """
    if not paths:
        print("name at least one file or directory", file=stderr)
        return EXIT_USAGE
    problems = find_problems(list(paths))
    if json:
        print(encode(problems).decode())
    else:
        for problem in problems:
            where = f"{problem.path}:{problem.line}"
            print(f"{where}: {problem.field}: {problem.problem}")
    return EXIT_BROKEN if problems else 0


def run() -> None:
    """Run the program."""
    raise SystemExit(run_command(check))
