"""Parse YAML into plain values and record their line numbers."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from yaml import (
    AliasEvent,
    CSafeLoader,
    MappingEndEvent,
    MappingNode,
    MappingStartEvent,
    Node,
    ScalarNode,
    SequenceEndEvent,
    SequenceNode,
    SequenceStartEvent,
    YAMLError,
    compose,
    parse,
)
from yaml.constructor import SafeConstructor

MAX_DEPTH = 16  # nested mappings and lists

Location = tuple[str | int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """A violation and its location in the document."""

    location: Location
    text: str

    @property
    def field(self) -> str:
        """The location as a dotted path, such as ``layouts[0].shards``."""
        parts = [f"[{p}]" if isinstance(p, int) else f".{p}" for p in self.location]
        return "".join(parts).lstrip(".") or "document"


@dataclass(slots=True, kw_only=True)
class Document:
    """A parsed document, the line number of each value, and its problems."""

    value: object = None
    lines: dict[Location, int] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def line(self, location: Location) -> int:
        """Return the line, from 1, of ``location`` or its nearest known parent.

        Return 0 if there is none.
        """
        for length in range(len(location), -1, -1):
            if line := self.lines.get(location[:length]):
                return line
        return 0


def parse_document(text: str) -> Document:
    """Parse one YAML document; errors are collected in its ``problems``.

    Aliases and deep nesting are rejected before any value is constructed, so
    that a small file cannot take up much memory.
    """
    document = Document()
    try:
        problem = _structure_problem(text)
        node = None if problem else compose(text, Loader=CSafeLoader)
    except YAMLError as error:
        problem, node = _syntax_problem(error, document), None
    if problem:
        document.problems.append(problem)
    elif not isinstance(node, MappingNode):
        document.problems.append(Problem(location=(), text="is not a mapping"))
    else:
        document.value = _build(node, (), document)
    return document


def _structure_problem(text: str) -> Problem | None:
    depth = 0
    for event in parse(text, Loader=CSafeLoader):
        if isinstance(event, AliasEvent):
            return Problem(location=(), text="aliases are not allowed")
        if isinstance(event, MappingStartEvent | SequenceStartEvent):
            depth += 1
        if isinstance(event, MappingEndEvent | SequenceEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            return Problem(
                location=(), text=f"is nested deeper than {MAX_DEPTH} levels"
            )
    return None


def _syntax_problem(error: YAMLError, document: Document) -> Problem:
    mark = getattr(error, "problem_mark", None)
    if mark is not None:
        document.lines[()] = mark.line + 1
    detail = getattr(error, "problem", None) or str(error).splitlines()[0]
    return Problem(location=(), text=f"is not YAML: {detail}")


def _build(node: Node, location: Location, document: Document) -> object:
    document.lines.setdefault(location, node.start_mark.line + 1)
    if isinstance(node, MappingNode):
        return dict(_build_pairs(node, location, document))
    if isinstance(node, SequenceNode):
        items = enumerate(node.value)
        return [_build(item, (*location, i), document) for i, item in items]
    try:
        return SafeConstructor().construct_object(node)
    except (YAMLError, ValueError):
        document.problems.append(
            Problem(location=location, text="is not a valid value")
        )
        return None


def _build_pairs(
    node: MappingNode, location: Location, document: Document
) -> Iterator[tuple[str, object]]:
    seen = set()
    for key_node, value_node in node.value:
        if not isinstance(key_node, ScalarNode):
            document.problems.append(
                Problem(location=location, text="has a key that is not a scalar")
            )
            continue
        key = key_node.value
        if key in seen:
            text = f"duplicate key {key!r}, again on line "
            text += str(key_node.start_mark.line + 1)
            document.problems.append(Problem(location=(*location, key), text=text))
            continue
        seen.add(key)
        document.lines[(*location, key)] = key_node.start_mark.line + 1
        yield key, _build(value_node, (*location, key), document)
