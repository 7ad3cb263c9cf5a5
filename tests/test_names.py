"""The names that leave the process still stand in the code.

docs/names.txt lists fields and values of messages, stored fields, file names,
settings, flags, environment variables, metrics and keys of log lines. A rename
that takes one of them along breaks clients, peers, stored data or dashboards.
"""

import ast
import pathlib
import re
from collections.abc import Iterator

import pytest

ROOT = pathlib.Path(__file__).parent.parent
FOLDERS = ("src", "platform", "bench", "examples")
DATA_FILES = ("pyproject.toml", "deploy/system.toml", "Makefile")


def words_of(node: ast.AST) -> Iterator[str]:
    """Yields the identifiers and string constants of one syntax node."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    for field in ("id", "attr", "arg", "name"):
        word = getattr(node, field, None)
        if isinstance(word, str):
            yield word


def is_docstring(node: ast.AST) -> bool:
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


def walk_code(node: ast.AST) -> Iterator[ast.AST]:
    """Yields the nodes below `node`, without doc strings."""
    for child in ast.iter_child_nodes(node):
        if not is_docstring(child):
            yield child
            yield from walk_code(child)


def code_of(path: pathlib.Path) -> str:
    """Returns a module's identifiers and strings, one to a line."""
    tree = ast.parse(path.read_text())
    return "\n".join(w for node in walk_code(tree) for w in words_of(node))


def data_of(path: pathlib.Path) -> str:
    """Returns a data file's text without its comments."""
    lines = path.read_text().splitlines()
    return "\n".join(line for line in lines if not line.startswith("#"))


def stands_in(name: str, text: str) -> bool:
    before = r"(?<![\w-])" if name[0].isalnum() else ""
    after = r"(?![\w-])" if name[-1].isalnum() else ""
    return re.search(before + re.escape(name) + after, text) is not None


@pytest.fixture(scope="module")
def code() -> str:
    modules = [p for f in FOLDERS for p in sorted((ROOT / f).rglob("*.py"))]
    texts = [code_of(path) for path in modules]
    texts += [data_of(ROOT / name) for name in DATA_FILES]
    return "\n".join(texts)


def test_each_listed_name_stands_in_the_code(code):
    names = (ROOT / "docs" / "names.txt").read_text().split()
    assert names == sorted(set(names))
    assert [name for name in names if not stands_in(name, code)] == []


def test_a_name_in_a_comment_or_doc_string_does_not_count(tmp_path):
    module = tmp_path / "module.py"
    module.write_text('"""Says gone_field."""\n\n# gone_field\nkept = "a-b"\n')
    text = code_of(module)
    assert not stands_in("gone_field", text)
    assert stands_in("kept", text)
    assert stands_in("a-b", text) and not stands_in("a", text)
