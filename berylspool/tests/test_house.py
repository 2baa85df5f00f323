"""Checks import order, sizes of modules, and the imports of each role."""

import ast
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
# A folder may import from itself and from the folders before it.
ORDER = ("common", "request", "version", "connection", "process")
MOST_MODULES = 12
MOST_LINES = 400
# Libraries of the command line and the operators' tools, which the processes
# of a deployment do not load.
TOOL_LIBRARIES = ("cyclopts", "rich", "prompt_toolkit", "lark")


def modules():
    """Yield the path and top-level folder of each module outside the tests."""
    for path in sorted(ROOT.rglob("*.py")):
        inner = path.relative_to(ROOT)
        if "tests" not in inner.parts and len(inner.parts) > 1:
            yield path, inner.parts[0]


def imported(path):
    """Yield the top-level folders that a module imports from."""
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
            if node.module == "berylspool":
                names = [f"berylspool.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            parts = name.split(".")
            if parts[0] == "berylspool" and len(parts) > 1:
                yield parts[1]


def test_no_folder_imports_from_a_later_one():
    wrong = []
    for path, folder in modules():
        if folder not in ORDER:
            continue
        allowed = {*ORDER[: ORDER.index(folder) + 1], "exception", "release"}
        wrong += [
            f"{path.relative_to(ROOT)} imports {other}"
            for other in imported(path)
            if other not in allowed
        ]
    assert not wrong


def test_the_platform_uses_no_tool():
    wrong = [
        str(path.relative_to(ROOT))
        for path, folder in modules()
        if folder == "platform" and "tool" in set(imported(path))
    ]
    assert not wrong


def test_folders_and_modules_are_small():
    modules_by_folder = {}
    for path, _ in modules():
        if path.name != "__init__.py":
            modules_by_folder.setdefault(path.parent, []).append(path)
    crowded = [
        f"{folder.relative_to(ROOT)}: {len(paths)} modules"
        for folder, paths in modules_by_folder.items()
        if len(paths) > MOST_MODULES
    ]
    long = [
        f"{path.relative_to(ROOT)}: {count} lines"
        for path, _ in modules()
        if (count := len(path.read_text().splitlines())) > MOST_LINES
    ]
    assert not crowded
    assert not long


@pytest.mark.parametrize(
    "module",
    [
        "berylspool.process.entry.forwarder",
        "berylspool.process.entry.role",
        "berylspool.process.control.role",
    ],
)
def test_a_role_loads_no_tool(module):
    code = (
        f"import sys, {module}\n"
        f"print([n for n in {TOOL_LIBRARIES!r} if n in sys.modules]"
        " + [n for n in sys.modules if n.startswith('berylspool.tool')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
