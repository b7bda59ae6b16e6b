"""Finds the group of tables that a statement reads or writes, as PROTOCOL defines it, with a small lexer.

Performs no I/O. The group is the number after the underscore in a schema name: 17 in `sales_17.orders`. Names
in strings and comments, quoted names that are not schemas, and the schema `staging` are ignored.
"""

import re
from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple

# Repetitions of groups are possessive: a backtracking one takes some 200 bytes for each character.
STATEMENT_TOKEN = re.compile(
    r"""
    (?P<skip> [\s\d=<>+*,;:%!|&?@#^~\[\]{}]+
        | --[^\n]*
        | '(?:[^']++|'')*+(?:'|\Z) )
  | (?P<tag> \$(?:[A-Za-z_]\w*)?\$ )
  | (?P<open> /\* )
  | "(?P<quoted> (?:[^"]++|"")*+ ) (?:"|\Z)
  | `(?P<ticked> [^`]* ) (?:`|\Z)
  | (?P<word> [^\W\d][\w$]* )
  | (?P<other> (?:.|\n) )
""",
    re.X,
)
COMMENT_MARK = re.compile(r"/\*|\*/")
GROUP = re.compile(r"_(\d+)\Z")
IGNORED_SCHEMA = "staging"
TABLE_FOLLOWS = frozenset(("from", "join", "into", "update", "using", "table", "copy", "truncate"))
TABLE_ENDS = frozenset(
    ("where", "select", "set", "on", "group", "order", "having", "limit", "values", "returning")
)


class DottedName(NamedTuple):
    """A name of several parts, and whether it is at a position where a table is named."""

    parts: list[str]
    is_table: bool


END = ("", False, False)
EXPECTS_TABLE = 1
IN_CALL = 2


def statement_tokens(text: str) -> Iterator[tuple[str, bool, bool]]:
    """Yields (text, is_name, is_quoted) for each token that is a name or a punctuation mark.

    The tuples are plain for speed: a long statement has thousands of tokens, and that of each query is read.
    """
    position = 0
    while position < len(text):
        match = STATEMENT_TOKEN.match(text, position)
        kind = match.lastgroup
        position = match.end()
        if kind == "tag":  # of a quoted string, which ends with the same tag
            end = text.find(match.group(kind), position)
            if end < 0:
                return
            position = end + len(match.group(kind))
        elif kind == "open":
            position = _comment_end(text, position)
            if position is None:
                return
        elif kind == "quoted":
            yield match.group(kind).replace('""', '"'), True, True
        elif kind == "ticked":
            yield match.group(kind), True, True
        elif kind == "word":
            yield match.group(kind), True, False
        elif kind == "other":
            yield match.group(kind), False, False


def _comment_end(text, position):
    """Returns the end of the block comment opened before `position`, None if it has none; comments nest."""
    depth = 1
    while depth:
        mark = COMMENT_MARK.search(text, position)
        if mark is None:
            return None
        depth += 1 if mark.group() == "/*" else -1
        position = mark.end()
    return position


def dotted_names(text: str) -> Iterator[DottedName]:
    """Yields the names of several parts in a statement."""
    expects_table = False
    in_call = False  # within the parentheses of a function call
    after_name = False
    after_dot = False
    parts = []
    outer = bytearray()  # `_pack_context` of what is outside of each open parenthesis
    for token, is_name, is_quoted in chain(statement_tokens(text), [END]):
        if is_name and after_dot:
            parts.append(token)
            after_dot = False
            continue
        if token == "." and not is_name and parts:
            after_dot = True
            continue
        if len(parts) > 1:
            yield DottedName(parts, expects_table)
        parts = []
        after_dot = False
        follows_name = after_name
        after_name = False
        if is_name:
            keyword = "" if is_quoted else token.lower()
            if keyword in TABLE_FOLLOWS:
                expects_table = not in_call  # as in extract(day from o_1.at)
            elif keyword in TABLE_ENDS:
                expects_table = False
                in_call = False
            else:
                parts = [token]
                after_name = True
        elif token == "(":
            outer.append(_pack_context(expects_table, in_call))
            expects_table = False
            in_call = follows_name
        elif token == ")" and outer:
            context = outer.pop()
            expects_table = bool(context & EXPECTS_TABLE)
            in_call = bool(context & IN_CALL)


def _pack_context(expects_table, in_call):
    """Returns both as one byte: a statement may open as many parentheses as it has characters."""
    return EXPECTS_TABLE * expects_table | IN_CALL * in_call


def table_group_of(text: str) -> str | None:
    """Returns the number of the statement's table group, as text; None if it names none."""
    fallback = None  # from a name that may be that of a column
    for name in dotted_names(text):
        is_schema_next_to_last = name.is_table or len(name.parts) == 2
        schema = name.parts[-2] if is_schema_next_to_last else name.parts[-3]
        match = GROUP.search(schema)
        if match and schema.lower() != IGNORED_SCHEMA:
            if name.is_table:
                return match.group(1)
            fallback = fallback or match.group(1)
    return fallback
