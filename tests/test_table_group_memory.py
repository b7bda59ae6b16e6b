"""The memory that finding a statement's table group takes."""

import random
import re
import tracemalloc

import pytest

from lichenquay.gateway import statement

# The lexer as it was before its repetitions became possessive.
BACKTRACKING_TOKEN = re.compile(
    r"""
    (?P<skip> [\s\d=<>+*,;:%!|&?@#^~\[\]{}]+
        | --[^\n]*
        | '(?:[^']|'')*(?:'|\Z)
        | (?P<tag>\$(?:[A-Za-z_]\w*)?\$) (?:.|\n)*? (?:(?P=tag)|\Z) )
  | (?P<open> /\* )
  | "(?P<quoted> (?:[^"]|"")* ) (?:"|\Z)
  | `(?P<ticked> [^`]* ) (?:`|\Z)
  | (?P<word> [^\W\d][\w$]* )
  | (?P<other> (?:.|\n) )
""",
    re.X,
)
PARTS = [
    "'",
    '"',
    "''",
    '""',
    "$$",
    "$a$",
    "$",
    "a",
    "_1",
    "s_17",
    ".",
    "(",
    ")",
    "/*",
    "*/",
    "--",
    "\n",
    " ",
]
PARTS += [
    "`",
    "from ",
    "join ",
    "insert into ",
    "select ",
    "values ",
    "staging",
    "x_2.t",
    'b_3."c"',
    ",",
    "é",
]


def test_table_groups_are_those_of_the_backtracking_lexer(monkeypatch):
    """Guards against another table group for any statement."""
    rng = random.Random(17)
    texts = ["".join(rng.choices(PARTS, k=rng.randint(1, 40))) for _ in range(20_000)]
    groups = [statement.table_group_of(text) for text in texts]
    monkeypatch.setattr(statement, "STATEMENT_TOKEN", BACKTRACKING_TOKEN)
    assert groups == [statement.table_group_of(text) for text in texts]
    assert len(set(groups)) > 3


@pytest.mark.parametrize("start", ['"', "'", "$$", "$a$", "`", '""' * 120_000, "''" * 120_000, "(" * 240_000])
def test_the_lexer_takes_little_memory(start):
    """Guards against 60 MB for one statement with a long quoted name, string or nesting."""
    text = f"select {start}{'x' * (255_000 - len(start))}"
    tracemalloc.start()
    statement.table_group_of(text)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak_bytes < 3 * len(text)
