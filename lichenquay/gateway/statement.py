"""Which group of tables a statement reads or writes (the operators' PROTOCOL): a lexer of our own, free of I/O.

The group is the number behind the underscore in a schema's name: 17 in `sales_17.orders`. Names in strings and
comments, quoted names that are no schemas, and the schema `staging` do not count.
"""

import re
from itertools import chain

TOKEN = re.compile(
    r"""
    (?P<skip> [\s\d=<>+*,;:%!|&?@#^~\[\]{}]+ | --[^\n]* | '(?:[^']|'')*(?:'|\Z) | (?P<tag>\$(?:[A-Za-z_]\w*)?\$) (?:.|\n)*? (?:(?P=tag)|\Z) )
  | (?P<open> /\* )
  | "(?P<quoted> (?:[^"]|"")* ) (?:"|\Z)
  | `(?P<ticked> [^`]* ) (?:`|\Z)
  | (?P<word> [^\W\d][\w$]* )
  | (?P<other> (?:.|\n) )
""",
    re.X,
)
COMMENT = re.compile(r"/\*|\*/")
GROUP = re.compile(r"_(\d+)\Z")
TABLE_FOLLOWS = frozenset(("from", "join", "into", "update", "using", "table", "copy", "truncate"))
TABLE_ENDS = frozenset(
    ("where", "select", "set", "on", "group", "order", "having", "limit", "values", "returning")
)


def tokens(text):
    """(text, is a name, is quoted) of each token that counts."""
    at, end = 0, len(text)
    while at < end:
        found = TOKEN.match(text, at)
        kind, at = found.lastgroup, found.end()
        if kind == "open":
            depth = 1
            while depth:  # block comments nest
                mark = COMMENT.search(text, at)
                if mark is None:
                    return
                depth, at = depth + (1 if mark.group() == "/*" else -1), mark.end()
        elif kind == "quoted":
            yield found.group(kind).replace('""', '"'), True, True
        elif kind == "ticked":
            yield found.group(kind), True, True
        elif kind == "word":
            yield found.group(kind), True, False
        elif kind == "other":
            yield found.group(kind), False, False


def names(text):
    """Each dotted name, and whether it stands where a table is named."""
    table = call = named = dotted = False
    parts, around = [], []
    for token, is_name, quoted in chain(tokens(text), [("", False, False)]):
        if is_name and dotted:
            parts.append(token)
            dotted = False
            continue
        if token == "." and not is_name and parts:
            dotted = True
            continue
        if len(parts) > 1:
            yield parts, table
        parts, dotted, before, named = [], False, named, False
        if is_name:
            word = "" if quoted else token.lower()
            if word in TABLE_FOLLOWS:
                table = not call  # as in extract(day from o_1.at)
            elif word in TABLE_ENDS:
                table = call = False
            else:
                parts, named = [token], True
        elif token == "(":
            around.append((table, call))
            table, call = False, before
        elif token == ")" and around:
            table, call = around.pop()


def tables_of(text):
    """The number of the group of tables, as text; None where the statement names none."""
    doubtful = None
    for parts, is_table in names(text):
        schema = parts[-2] if is_table or len(parts) == 2 else parts[-3]
        found = GROUP.search(schema)
        if found and schema.lower() != "staging":
            if is_table:
                return found.group(1)
            doubtful = doubtful or found.group(1)
    return doubtful
